//! Finds values that are out of range.

use crate::{
    call_class, class_target, engine_entry, engine_role, entry_kind, fault_place, generation_class,
    note_entries, note_fault, note_section, refusal_reason, release_note,
};

/// Longest name, in bytes.
const NAME_LIMIT_BYTES: usize = 128;

/// Longest time that a target or timeout may allow, in milliseconds: one hour.
const TIME_LIMIT_MS: u32 = 3_600_000;

/// Returns the values of `note` that are out of range.
pub(crate) fn faults(note: &release_note::ReleaseNote) -> Vec<note_fault::NoteFault> {
    let mut check = RangeCheck {
        section: note_section::NoteSection::Added,
        faults: Vec::new(),
    };
    check.entries(&note.added);
    check.section = note_section::NoteSection::Changed;
    check.entries(&note.changed);
    check.faults
}

struct RangeCheck {
    section: note_section::NoteSection,
    faults: Vec<note_fault::NoteFault>,
}

impl RangeCheck {
    fn entries(&mut self, entries: &note_entries::NoteEntries) {
        for model in &entries.models {
            self.name(entry_kind::EntryKind::Models, model.name.as_str());
        }
        for engine in &entries.engines {
            self.engine(engine);
        }
        for service in &entries.services {
            let kind = entry_kind::EntryKind::Services;
            let name = service.name.as_str();
            self.name(kind, name);
            let selected = service.path_prefix.is_some() || service.host.is_some();
            self.want(selected, kind, name, "path_prefix", "set, or `host`");
            let prefix = service.path_prefix.as_deref();
            let rooted = prefix.is_none_or(|prefix| prefix.starts_with('/'));
            self.want(
                rooted,
                kind,
                name,
                "path_prefix",
                "a path that begins with `/`",
            );
        }
        for server in &entries.servers {
            let kind = entry_kind::EntryKind::Servers;
            self.name(kind, server.name.as_str());
            let some = server.concurrency > 0;
            self.want(
                some,
                kind,
                server.name.as_str(),
                "concurrency",
                "at least 1",
            );
        }
        for class in &entries.classes {
            let name = class.name.as_str();
            self.name(entry_kind::EntryKind::Classes, name);
            match &class.target {
                class_target::ClassTarget::Generation(generation) => {
                    self.generation(name, generation);
                }
                class_target::ClassTarget::Call(call) => self.call(name, call),
            }
        }
        for workspace in &entries.workspaces {
            let kind = entry_kind::EntryKind::Workspaces;
            let name = workspace.name.as_str();
            self.name(kind, name);
            self.want(workspace.weight > 0, kind, name, "weight", "at least 1");
            let some = workspace.in_flight_limit > 0;
            self.want(some, kind, name, "in_flight_limit", "at least 1");
        }
    }

    fn engine(&mut self, engine: &engine_entry::EngineEntry) {
        let name = engine.name.as_str();
        self.name(entry_kind::EntryKind::Engines, name);
        let prefills = engine.role != engine_role::EngineRole::Decode;
        let decodes = engine.role != engine_role::EngineRole::Prefill;
        let wanted = [
            (!decodes || engine.decode_slots > 0, "decode_slots"),
            (engine.kv_pieces > 0, "kv_pieces"),
            (
                !prefills || engine.prefill_tokens_per_second > 0,
                "prefill_tokens_per_second",
            ),
            (engine.link_tokens_per_second > 0, "link_tokens_per_second"),
            (
                !decodes || engine.full_batch_token_ms > 0,
                "full_batch_token_ms",
            ),
            (!prefills || engine.retention_ms > 0, "retention_ms"),
        ];
        for (good, field) in wanted {
            self.want(
                good,
                entry_kind::EntryKind::Engines,
                name,
                field,
                "at least 1",
            );
        }
    }

    fn generation(&mut self, name: &str, class: &generation_class::GenerationClass) {
        let kind = entry_kind::EntryKind::Classes;
        let time = 1..=TIME_LIMIT_MS;
        let span = "between 1 and 3600000";
        self.want(
            !class.models.is_empty(),
            kind,
            name,
            "models",
            "a list of at least one model",
        );
        self.want(
            time.contains(&class.first_token_ms),
            kind,
            name,
            "first_token_ms",
            span,
        );
        self.want(
            time.contains(&class.token_pace_ms),
            kind,
            name,
            "token_pace_ms",
            span,
        );
        let some = class.output_limit_tokens > 0;
        self.want(some, kind, name, "output_limit_tokens", "at least 1");
        let fits = (1..=class.output_limit_tokens).contains(&class.expected_output_tokens);
        let expected = "between 1 and output_limit_tokens";
        self.want(fits, kind, name, "expected_output_tokens", expected);
    }

    fn call(&mut self, name: &str, class: &call_class::CallClass) {
        let kind = entry_kind::EntryKind::Classes;
        let time = (1..=TIME_LIMIT_MS).contains(&class.timeout_ms);
        self.want(time, kind, name, "timeout_ms", "between 1 and 3600000");
        self.want(
            !class.routes.is_empty(),
            kind,
            name,
            "routes",
            "a list of at least one route",
        );
        for route in &class.routes {
            let capitals = !route.method.is_empty()
                && route.method.bytes().all(|byte| byte.is_ascii_uppercase());
            self.want(capitals, kind, name, "method", "an HTTP method in capitals");
            let rooted = route.path.starts_with('/');
            self.want(rooted, kind, name, "path", "a path that begins with `/`");
        }
    }

    fn name(&mut self, kind: entry_kind::EntryKind, name: &str) {
        let sized = (1..=NAME_LIMIT_BYTES).contains(&name.len());
        let plain = !name
            .chars()
            .any(|sign| sign.is_whitespace() || sign.is_control());
        let expected = "1 to 128 bytes without blanks";
        self.want(sized && plain, kind, name, "name", expected);
    }

    fn want(
        &mut self,
        good: bool,
        kind: entry_kind::EntryKind,
        name: &str,
        field: &'static str,
        expected: &str,
    ) {
        if good {
            return;
        }
        let place = fault_place::FaultPlace {
            section: self.section,
            kind,
            name: name.to_owned(),
            field: Some(field),
        };
        let reason = refusal_reason::RefusalReason::OutOfRange {
            key: field.to_owned(),
            name: name.to_owned(),
            expected: expected.to_owned(),
        };
        self.faults.push(note_fault::NoteFault {
            place: Some(place),
            reason,
        });
    }
}
