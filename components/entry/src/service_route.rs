//! Finds the plain service and the rule that a call falls under.

use std::time;

/// Where a call goes and how it is treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRoute {
    /// Service that answers.
    pub service: ids::ServiceName,
    /// Class of the call.
    pub class: ids::ClassName,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Time the call may take.
    pub timeout: time::Duration,
}

impl ServiceRoute {
    /// Finds the route of a call, by host before path prefix.
    ///
    /// The rule with the longest matching path decides whether the call is idempotent. Without a
    /// rule GET, HEAD and OPTIONS are idempotent, as HTTP defines them, and nothing else is.
    #[must_use]
    pub fn find(
        state: &note::StateInForce,
        method: &http::Method,
        host: Option<&str>,
        path: &str,
    ) -> Option<Self> {
        let (service, below) = service_of(state, host, path)?;
        let classes = || call_classes(state, service);
        let ruled = classes()
            .flat_map(|(name, class)| class.routes.iter().map(move |rule| (name, class, rule)))
            .filter(|(_, _, rule)| rule.method == method.as_str() && is_below(&rule.path, below))
            .max_by_key(|(_, _, rule)| rule.path.trim_end_matches('/').len());
        let (name, class, idempotent) = match ruled {
            Some((name, class, rule)) => (name, class, rule.idempotent),
            None => {
                let (name, class) = classes().next()?;
                (name, class, is_safe(method))
            }
        };
        Some(Self {
            service: service.clone(),
            class: name.clone(),
            idempotent,
            priority: class.priority,
            timeout: time::Duration::from_millis(u64::from(class.timeout_ms)),
        })
    }
}

/// Returns the service and the path below its prefix.
fn service_of<'state, 'path>(
    state: &'state note::StateInForce,
    host: Option<&str>,
    path: &'path str,
) -> Option<(&'state ids::ServiceName, &'path str)> {
    let host = host.map(without_port);
    let by_host = state
        .services
        .values()
        .find(|service| service.host.is_some() && service.host.as_deref() == host);
    if let Some(service) = by_host {
        let below = service
            .path_prefix
            .as_deref()
            .and_then(|prefix| path.strip_prefix(prefix.trim_end_matches('/')))
            .unwrap_or(path);
        return Some((&service.name, below));
    }
    state
        .services
        .values()
        .filter_map(|service| Some((service, service.path_prefix.as_deref()?)))
        .filter(|(_, prefix)| is_below(prefix, path))
        .max_by_key(|(_, prefix)| prefix.trim_end_matches('/').len())
        .map(|(service, prefix)| (&service.name, &path[prefix.trim_end_matches('/').len()..]))
}

fn call_classes<'state>(
    state: &'state note::StateInForce,
    service: &ids::ServiceName,
) -> impl Iterator<Item = (&'state ids::ClassName, &'state note::CallClass)> {
    state
        .classes
        .values()
        .filter_map(move |class| match &class.target {
            note::ClassTarget::Call(call) if call.service == *service => Some((&class.name, call)),
            _ => None,
        })
}

/// Returns whether `path` is `prefix` or lies below it, at a whole segment.
fn is_below(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_safe(method: &http::Method) -> bool {
    [http::Method::GET, http::Method::HEAD, http::Method::OPTIONS].contains(method)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
