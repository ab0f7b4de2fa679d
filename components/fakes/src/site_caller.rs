//! A caller of the router.

use std::{net, sync, time};

use crate::stand_clock;

/// Header field that names the workspace, as the settings have it by default.
const WORKSPACE_HEADER: &str = "x-workspace";

/// A caller of the router over HTTP.
#[derive(Clone)]
pub struct SiteCaller {
    pool: sync::Arc<client::ConnectionPool>,
    workspace: &'static str,
}

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Status of the answer.
    pub status: http::StatusCode,
    /// Header fields of the answer.
    pub headers: http::HeaderMap,
    /// Body of the answer.
    pub body: String,
}

/// A streamed answer under way; dropping it closes the connection.
pub struct StreamAnswer {
    answer: client::PooledAnswer,
    /// Time the request was sent.
    pub sent: time::Instant,
    /// Time of each event so far.
    pub times: Vec<time::Instant>,
    /// Text of all events so far.
    pub text: String,
}

impl CallerAnswer {
    /// Returns a header field as text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    /// Returns what became of the request, as the answer says.
    #[must_use]
    pub fn outcome(&self) -> Option<border::Outcome> {
        self.header("plantainreach-outcome").parse().ok()
    }

    /// Returns the text of a whole chat answer.
    #[must_use]
    pub fn chat_text(&self) -> String {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        let content = &body["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }
}

impl SiteCaller {
    /// Makes a caller of a workspace.
    #[must_use]
    pub fn new(workspace: &'static str) -> Self {
        let clock = sync::Arc::new(stand_clock::StandClock::start());
        Self {
            pool: client::ConnectionPool::new(client::PoolSettings::default(), clock),
            workspace,
        }
    }

    /// Sends a request and reads the answer whole.
    ///
    /// # Errors
    ///
    /// Returns what proves how far the request came.
    pub async fn send(
        &self,
        instance: net::SocketAddr,
        request: http::request::Builder,
        body: impl Into<bytes::Bytes>,
    ) -> Result<CallerAnswer, border::BorderError> {
        let mut answer = self.open(instance, request, body).await?;
        let body = answer.whole_body().await?;
        Ok(CallerAnswer {
            status: answer.status(),
            headers: answer.headers().clone(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a chat request for a whole answer.
    ///
    /// # Errors
    ///
    /// Returns what proves how far the request came.
    pub async fn chat(
        &self,
        instance: net::SocketAddr,
        class: &str,
        prompt: &str,
    ) -> Result<CallerAnswer, border::BorderError> {
        let body = chat_body(prompt, false);
        self.send(instance, chat_request(class), body).await
    }

    /// Sends a chat request for a streamed answer.
    ///
    /// # Errors
    ///
    /// Returns what proves how far the request came.
    pub async fn chat_stream(
        &self,
        instance: net::SocketAddr,
        class: &str,
        prompt: &str,
    ) -> Result<StreamAnswer, border::BorderError> {
        let sent = time::Instant::now();
        let body = chat_body(prompt, true);
        let answer = self.open(instance, chat_request(class), body).await?;
        Ok(StreamAnswer {
            answer,
            sent,
            times: Vec::new(),
            text: String::new(),
        })
    }

    async fn open(
        &self,
        instance: net::SocketAddr,
        request: http::request::Builder,
        body: impl Into<bytes::Bytes>,
    ) -> Result<client::PooledAnswer, border::BorderError> {
        let mut request = request
            .body(http_body_util::Full::new(body.into()))
            .map_err(|error| border::BorderError::NotSent {
                detail: error.to_string(),
            })?;
        let workspace = http::HeaderValue::from_static(self.workspace);
        let headers = request.headers_mut();
        headers.entry(WORKSPACE_HEADER).or_insert(workspace);
        self.pool
            .send(instance, request, clock::Timestamp::MAX)
            .await
    }
}

impl StreamAnswer {
    /// Returns the status of the answer.
    #[must_use]
    pub const fn status(&self) -> http::StatusCode {
        self.answer.status()
    }

    /// Returns a header field as text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        header(self.answer.headers(), name)
    }

    /// Reads the next piece; returns whether the stream goes on.
    ///
    /// # Errors
    ///
    /// Returns `Lost` when the connection breaks.
    pub async fn read_more(&mut self) -> Result<bool, border::BorderError> {
        let Some(piece) = self.answer.next_piece().await? else {
            return Ok(false);
        };
        self.times.push(time::Instant::now());
        self.text.push_str(&String::from_utf8_lossy(&piece));
        Ok(true)
    }

    /// Reads to the end.
    ///
    /// # Errors
    ///
    /// Returns `Lost` when the connection breaks.
    pub async fn read_all(&mut self) -> Result<(), border::BorderError> {
        while self.read_more().await? {}
        Ok(())
    }

    /// Returns whether the stream ended as whole.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.text.ends_with("data: [DONE]\n\n")
    }

    /// Returns the text of the tokens so far.
    #[must_use]
    pub fn chat_text(&self) -> String {
        self.text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|json| serde_json::from_str::<serde_json::Value>(json).ok())
            .filter_map(|event| {
                let content = &event["choices"][0]["delta"]["content"];
                content.as_str().map(str::to_owned)
            })
            .collect()
    }
}

fn chat_request(class: &str) -> http::request::Builder {
    http::Request::post("/v1/chat/completions")
        .header(http::header::CONTENT_TYPE, "application/json")
        .header("plantainreach-class", class)
}

fn chat_body(prompt: &str, is_streamed: bool) -> String {
    serde_json::json!({
        "model": "drafts",
        "messages": [{"role": "user", "content": prompt}],
        "stream": is_streamed,
    })
    .to_string()
}

fn header<'headers>(headers: &'headers http::HeaderMap, name: &str) -> &'headers str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Returns the code of the error in an answer or at the end of a stream.
#[must_use]
pub fn error_code(text: &str) -> Option<String> {
    let last = text.lines().rev().find(|line| !line.is_empty())?;
    let json = last.strip_prefix("data: ").unwrap_or(last);
    let error: serde_json::Value = serde_json::from_str(json).ok()?;
    error["error"]["code"].as_str().map(str::to_owned)
}
