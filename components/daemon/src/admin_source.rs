//! Tells operators what an instance shows.

use std::{collections, sync};

use crate::{engine_count, instance_snapshot};

/// Tells operators what an instance shows, from its latest snapshot.
pub(crate) struct AdminSource {
    pub(crate) own: ids::InstanceId,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) place: settings::InstancePlace,
    pub(crate) snapshot: sync::Arc<arc_swap::ArcSwap<instance_snapshot::InstanceSnapshot>>,
}

impl admin::StateSource for AdminSource {
    fn state(&self) -> admin::StateReport {
        let snapshot = self.snapshot.load_full();
        admin::StateReport::builder()
            .instance(self.instance(&snapshot))
            .release_notes(note_report(&snapshot))
            .membership(membership_report(&snapshot))
            .cells(cell_reports(&snapshot))
            .orders(snapshot.orders.iter().map(order_report).collect())
            .build()
    }

    fn engines(&self) -> Vec<admin::EngineReport> {
        let snapshot = self.snapshot.load_full();
        let owners = owners(&snapshot);
        snapshot
            .state
            .engines
            .values()
            .map(|engine| {
                let count = snapshot.engines.get(&engine.name);
                engine_report(engine, owners.get(&engine.name).copied(), count)
            })
            .collect()
    }
}

impl AdminSource {
    fn instance(&self, snapshot: &instance_snapshot::InstanceSnapshot) -> admin::InstanceReport {
        let readiness = snapshot.notes.as_ref().map(|notes| notes.readiness);
        admin::InstanceReport::builder()
            .id(self.own)
            .incarnation(self.incarnation)
            .region(self.place.region.as_str())
            .data_centre(self.place.data_centre.as_str())
            .version(env!("CARGO_PKG_VERSION"))
            .ready(snapshot.ready)
            .readiness(readiness.map_or_else(String::new, |readiness| readiness.to_string()))
            .draining(snapshot.draining)
            .in_flight(snapshot.in_flight)
            .build()
    }
}

fn note_report(snapshot: &instance_snapshot::InstanceSnapshot) -> admin::NoteReport {
    let notes = snapshot.notes.as_ref();
    let refused = notes.map_or_else(Vec::new, |notes| {
        notes.refused.iter().map(refused_note).collect()
    });
    let lagging = notes.map_or_else(Vec::new, |notes| {
        let peers = notes.peers.iter().filter(|peer| peer.lag > 0);
        peers.map(lagging_instance).collect()
    });
    admin::NoteReport::builder()
        .revision(snapshot.state.revision)
        .digest(snapshot.digest.to_string())
        .reader(notes.is_some_and(|notes| notes.reader))
        .divergences(notes.map_or(0, |notes| notes.divergences))
        .refused(refused)
        .lagging(lagging)
        .build()
}

fn refused_note(refused: &spread::RefusedNote) -> admin::RefusedNote {
    admin::RefusedNote {
        revision: refused.revision,
        reason: refused.message.clone(),
    }
}

const fn lagging_instance(peer: &spread::PeerStatus) -> admin::LaggingInstance {
    admin::LaggingInstance {
        instance: peer.instance,
        revision: peer.summary.revision,
        lag: peer.lag,
        age_ms: peer.age_ms,
    }
}

fn membership_report(snapshot: &instance_snapshot::InstanceSnapshot) -> admin::MembershipReport {
    let peers = snapshot.notes.iter().flat_map(|notes| &notes.peers);
    let mut revisions: collections::BTreeMap<_, _> = peers
        .map(|peer| (peer.instance, peer.summary.revision))
        .collect();
    revisions.insert(snapshot.view.own, snapshot.state.revision);
    let members = snapshot.view.members.values().map(|member| {
        let revision = revisions.get(&member.instance.id).copied();
        member_report(member, revision)
    });
    admin::MembershipReport {
        fresh: snapshot.view.fresh,
        partitioned: snapshot.view.partitioned,
        members: members.collect(),
    }
}

fn member_report(
    member: &member::MemberEntry,
    revision: Option<ids::Revision>,
) -> admin::MemberReport {
    admin::MemberReport::builder()
        .id(member.instance.id)
        .state(member.state.to_string())
        .region(member.instance.region.as_str())
        .data_centre(member.instance.data_centre.as_str())
        .address(member.instance.address)
        .maybe_revision(revision)
        .build()
}

fn cell_reports(snapshot: &instance_snapshot::InstanceSnapshot) -> Vec<admin::CellReport> {
    let cells = snapshot.owned_cells.iter().map(|cell| admin::CellReport {
        id: cell.id.to_string(),
        region: cell.region.to_string(),
        engines: cell.engines.len(),
        leases: snapshot.leases.get(&cell.id).copied().unwrap_or_default(),
    });
    cells.collect()
}

fn order_report(report: &order::OrderReport) -> admin::OrderReport {
    let action: &'static str = (&report.action).into();
    admin::OrderReport {
        engine: report.engine.to_string(),
        order: report.order,
        action: action.to_owned(),
        age_ms: u64::try_from(report.age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the owners of all engines' cells, as the membership has it.
fn owners(
    snapshot: &instance_snapshot::InstanceSnapshot,
) -> collections::BTreeMap<ids::ServerName, ids::InstanceId> {
    let mut owners = collections::BTreeMap::new();
    for cell in place::cell::cells(&snapshot.state) {
        let Some(owner) = place::cell::owner(&cell, &snapshot.view) else {
            continue;
        };
        owners.extend(cell.engines.into_iter().map(|engine| (engine, owner)));
    }
    owners
}

fn engine_report(
    engine: &note::EngineEntry,
    owner: Option<ids::InstanceId>,
    count: Option<&engine_count::EngineCount>,
) -> admin::EngineReport {
    let load = count.map(|count| admin::EngineLoad {
        role: Some(count.role.to_string()),
        held_slots: count.held_slots,
        slots: engine.decode_slots,
        held_pieces: count.held_pieces,
        pieces: engine.kv_pieces,
        queued_prompt_tokens: count.queued_prompt_tokens,
    });
    admin::EngineReport::builder()
        .name(engine.name.as_str())
        .address(engine.address)
        .data_centre(engine.data_centre.as_str())
        .role(engine.role.to_string())
        .models(engine.models.iter().map(ToString::to_string).collect())
        .leaving(engine.leaving)
        .maybe_owner(owner)
        .maybe_load(load)
        .build()
}
