//! Checks of values that their types alone don't make.

use crate::{instance_settings, request_limits, stage_timeouts};

/// A value that breaks a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ValueFault {
    /// The key, with its sections, joined by dots.
    pub(crate) key: &'static str,
    /// What is wrong.
    pub(crate) message: String,
    /// How to mend it.
    pub(crate) fix: &'static str,
}

/// Longest span of time that settings may name, in milliseconds: one day.
const LONGEST_SPAN_MS: u64 = 86_400_000;

/// Returns every value of `settings` that breaks a rule.
pub(crate) fn faults(settings: &instance_settings::InstanceSettings) -> Vec<ValueFault> {
    let mut faults = Vec::new();
    check_place(settings, &mut faults);
    check_addresses(settings, &mut faults);
    check_limits(&settings.limits, &mut faults);
    check_limit_spans(&settings.limits, &mut faults);
    check_timeouts(&settings.timeouts, &mut faults);
    check_span("drain.timeout_ms", settings.drain.timeout_ms, &mut faults);
    check_header(&settings.workspace_header, &mut faults);
    check_collector(settings.tracing.collector.as_deref(), &mut faults);
    faults
}

fn check_place(settings: &instance_settings::InstanceSettings, faults: &mut Vec<ValueFault>) {
    let place = &settings.instance;
    if place.id.0 == 0 {
        faults.push(ValueFault {
            key: "instance.id",
            message: "0 is not the number of an instance".to_owned(),
            fix: "write the number that the platform's instance list gives this instance",
        });
    }
    for (key, name) in [
        ("instance.region", place.region.as_str()),
        ("instance.data_centre", place.data_centre.as_str()),
    ] {
        if name.is_empty() {
            faults.push(ValueFault {
                key,
                message: "the name is empty".to_owned(),
                fix: "write the name that the release notes use for it",
            });
        }
    }
    if place.peer_address.ip().is_unspecified() {
        faults.push(ValueFault {
            key: "instance.peer_address",
            message: format!("{} is not an address others can reach", place.peer_address),
            fix: "write the IP address of this instance; 0.0.0.0 belongs under `listen`",
        });
    }
}

fn check_addresses(settings: &instance_settings::InstanceSettings, faults: &mut Vec<ValueFault>) {
    let listen = &settings.listen;
    let pairs = [
        (
            "listen.peers",
            listen.peers,
            "listen.callers",
            listen.callers,
        ),
        (
            "listen.admin",
            listen.admin,
            "listen.callers",
            listen.callers,
        ),
        ("listen.admin", listen.admin, "listen.peers", listen.peers),
    ];
    for (key, address, other_key, other) in pairs {
        if address == other && address.port() != 0 {
            faults.push(ValueFault {
                key,
                message: format!("{address} is also the address of {other_key}"),
                fix: "give each of the three its own port",
            });
        }
    }
}

fn check_limits(limits: &request_limits::RequestLimits, faults: &mut Vec<ValueFault>) {
    let counts = [
        ("limits.body_bytes", limits.body_bytes),
        ("limits.header_bytes", limits.header_bytes),
        ("limits.header_count", limits.header_count),
        ("limits.max_tokens", limits.max_tokens as usize),
        ("limits.prompt_tokens", limits.prompt_tokens as usize),
        ("limits.in_flight_requests", limits.in_flight_requests),
    ];
    for (key, count) in counts {
        if count == 0 {
            faults.push(ValueFault {
                key,
                message: "0 would refuse every request".to_owned(),
                fix: "write a number above 0, or leave the key out to take the default",
            });
        }
    }
    if limits.held_bytes < limits.body_bytes {
        faults.push(ValueFault {
            key: "limits.held_bytes",
            message: format!(
                "{} is less than limits.body_bytes, {}",
                limits.held_bytes, limits.body_bytes
            ),
            fix: "allow at least one largest body, or lower limits.body_bytes",
        });
    }
}

fn check_limit_spans(limits: &request_limits::RequestLimits, faults: &mut Vec<ValueFault>) {
    check_span("limits.header_timeout_ms", limits.header_timeout_ms, faults);
    check_span("limits.body_timeout_ms", limits.body_timeout_ms, faults);
}

fn check_timeouts(timeouts: &stage_timeouts::StageTimeouts, faults: &mut Vec<ValueFault>) {
    let spans = [
        ("timeouts.connect_ms", timeouts.connect_ms),
        ("timeouts.prefill_ms", timeouts.prefill_ms),
        ("timeouts.transfer_ms", timeouts.transfer_ms),
        ("timeouts.token_gap_ms", timeouts.token_gap_ms),
        ("timeouts.engine_reading_ms", timeouts.engine_reading_ms),
    ];
    for (key, span_ms) in spans {
        check_span(key, span_ms, faults);
    }
}

fn check_span(key: &'static str, span_ms: u64, faults: &mut Vec<ValueFault>) {
    if (1..=LONGEST_SPAN_MS).contains(&span_ms) {
        return;
    }
    faults.push(ValueFault {
        key,
        message: format!("{span_ms} ms is outside 1 to {LONGEST_SPAN_MS} ms"),
        fix: "write a time in milliseconds, of one day at most",
    });
}

fn check_header(name: &str, faults: &mut Vec<ValueFault>) {
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if name.is_empty() || !name.bytes().all(valid) {
        faults.push(ValueFault {
            key: "workspace_header",
            message: format!("`{name}` is not the name of a header field"),
            fix: "use small letters, digits and hyphens, such as `x-workspace`",
        });
    }
}

fn check_collector(collector: Option<&str>, faults: &mut Vec<ValueFault>) {
    let Some(address) = collector else {
        return;
    };
    let host = address
        .strip_prefix("http://")
        .map(|rest| rest.trim_end_matches('/'));
    if host.is_none_or(|host| host.parse::<std::net::SocketAddr>().is_err()) {
        faults.push(ValueFault {
            key: "tracing.collector",
            message: format!("`{address}` is not the address of a collector"),
            fix: "write `http://` with an IP address and port, such as `http://10.0.0.9:4317`",
        });
    }
}
