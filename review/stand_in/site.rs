//! A small deployment: the store with its configuration, and requests of clients.

use crate::store::Store;

pub const HOST: &str = "quotes.example";

/// Size of the engines in the configuration.
pub struct EngineSize {
    pub slots: u32,
    pub kv_tokens: u64,
}

/// Writes a configuration with a resumable and a plain streaming route.
pub fn write_config(store: &Store, service: &str, size: &EngineSize) {
    let route = |name: &str, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"routeType\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"sticky\":true,\
             \"resumable\":{resumable},\"targetGapMs\":300}}"
        )
    };
    let routes = [route("spec", 2, true), route("reorder", 1, false)].join(",");
    let config = format!(
        "{{\"version\":7,\"routes\":[{routes}],\"services\":[{{\"name\":\"{service}\",\
         \"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":{},\"kvCapacityTokens\":{},\"kvTokenBytes\":18432,\
         \"linkMbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,\
         \"handleTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        size.slots, size.kv_tokens
    );
    store.put("op/config", &config);
}

/// Returns a request for a stream on a route, with a prompt of its own.
pub fn stream_request(route: &str, id: &str, prompt: u64, output: u64) -> String {
    session_request(route, id, id, prompt, output, "X-Deadline-Ms: 14000\r\n")
}

/// Returns a request for a stream on a route, whose last part of the prompt is that of a session.
/// `fields` are further header fields.
pub fn session_request(
    route: &str,
    id: &str,
    session: &str,
    prompt: u64,
    output: u64,
    fields: &str,
) -> String {
    let body = "p".repeat(200);
    format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: {prompt},{output}\r\nX-Length-Hint: {output}\r\n\
         X-Prompt-Prefix: 5c1e07a2:200,{:x}:{}\r\n{fields}\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        hash(session),
        prompt - 200,
        body.len()
    )
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Returns the whole stream that an engine sends for a request.
pub fn whole_stream(id: &str, output: u64) -> String {
    (1..=output)
        .map(|number| format!("id: {number}\ndata: {id}-{number}\n\n"))
        .collect()
}
