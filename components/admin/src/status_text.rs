//! What is in force as tables for people.

use crate::{engine_report, member_report, state_report};

/// Text of a figure that the answering instance doesn't know.
const UNKNOWN: &str = "-";

/// Renders what is in force, on which instances, and the engines with their roles and load.
#[must_use]
pub fn status_text(
    state: &state_report::StateReport,
    engines: &[engine_report::EngineReport],
) -> String {
    let mut sections = vec![instance_lines(state), note_lines(state)];
    sections.push(titled("Instances", &member_table(&state.membership)));
    sections.push(titled("Engines", &engine_table(engines)));
    if !state.orders.is_empty() {
        sections.push(titled("Orders not settled", &order_table(state)));
    }
    sections.join("\n")
}

fn instance_lines(state: &state_report::StateReport) -> String {
    let instance = &state.instance;
    let mood = if instance.draining {
        "draining"
    } else {
        instance.readiness.as_str()
    };
    format!(
        "Instance {} in {} ({}): {mood}, {} in flight, owns {} cell(s)\n",
        instance.id,
        instance.data_centre,
        instance.region,
        instance.in_flight,
        state.cells.len()
    )
}

fn note_lines(state: &state_report::StateReport) -> String {
    let notes = &state.release_notes;
    let mut text = format!(
        "Release notes: revision {} in force, digest {}\n",
        notes.revision, notes.digest
    );
    for refused in &notes.refused {
        text += &format!("  refused {}: {}\n", refused.revision, refused.reason);
    }
    for lagging in &notes.lagging {
        text += &format!(
            "  instance {} had revision {} {} ms ago\n",
            lagging.instance, lagging.revision, lagging.age_ms
        );
    }
    if notes.divergences > 0 {
        text += &format!("  {} divergence(s) from peers\n", notes.divergences);
    }
    if !state.membership.fresh {
        text += "The view of the other instances is stale.\n";
    }
    if state.membership.partitioned {
        text += "Too many instances are silent: the fleet may be split.\n";
    }
    text
}

fn titled(title: &str, table: &comfy_table::Table) -> String {
    format!("{title}\n{table}\n")
}

fn plain_table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_BORDERS_ONLY_CONDENSED);
    table.set_header(header);
    table
}

fn member_table(membership: &member_report::MembershipReport) -> comfy_table::Table {
    let mut table = plain_table(&["instance", "state", "data centre", "address", "revision"]);
    for member in &membership.members {
        table.add_row([
            member.id.to_string(),
            member.state.clone(),
            member.data_centre.clone(),
            member.address.to_string(),
            shown(member.revision),
        ]);
    }
    table
}

fn engine_table(engines: &[engine_report::EngineReport]) -> comfy_table::Table {
    let mut table = plain_table(&[
        "engine",
        "data centre",
        "role",
        "models",
        "owner",
        "slots",
        "memory",
        "queued",
    ]);
    for engine in engines {
        let load = engine.load.as_ref();
        table.add_row([
            engine.name.clone(),
            engine.data_centre.clone(),
            role_text(engine),
            engine.models.join(", "),
            shown(engine.owner),
            shown(load.map(|load| format!("{}/{}", load.held_slots, load.slots))),
            shown(load.map(|load| format!("{}/{}", load.held_pieces, load.pieces))),
            shown(load.map(|load| load.queued_prompt_tokens)),
        ]);
    }
    table
}

/// Returns the role in force, with the role that the engine tells when it differs.
fn role_text(engine: &engine_report::EngineReport) -> String {
    let told = engine.load.as_ref().and_then(|load| load.role.as_ref());
    let mut text = match told {
        Some(told) if *told != engine.role => format!("{} (now {told})", engine.role),
        _ => engine.role.clone(),
    };
    if engine.leaving {
        text += ", leaving";
    }
    text
}

fn order_table(state: &state_report::StateReport) -> comfy_table::Table {
    let mut table = plain_table(&["engine", "order", "action", "age"]);
    for order in &state.orders {
        table.add_row([
            order.engine.clone(),
            order.order.to_string(),
            order.action.clone(),
            format!("{} ms", order.age_ms),
        ]);
    }
    table
}

fn shown(figure: Option<impl ToString>) -> String {
    figure.map_or_else(|| UNKNOWN.to_owned(), |figure| figure.to_string())
}
