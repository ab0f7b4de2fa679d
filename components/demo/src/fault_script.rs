//! What goes wrong during the demo, and when.

use std::time;

use crate::{demo_options, demo_site};

/// Instance that is killed, by place.
pub(crate) const KILLED_INSTANCE: usize = 1;

/// Instance that is drained while callers keep coming, by place.
pub(crate) const DRAINED_INSTANCE: usize = 2;

/// Longest time until a release note is to be in force everywhere.
pub(crate) const NOTE_LIMIT: time::Duration = time::Duration::from_secs(4);

/// What the script saw.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ScriptResult {
    /// Time until the note was in force on all running instances.
    pub(crate) note_time: Option<time::Duration>,
    /// Time since the start at which the instance was killed.
    pub(crate) killed_at: Option<time::Duration>,
    /// Whether the drain finished everything in flight.
    pub(crate) drained: bool,
}

/// Runs the script against a site while requests arrive.
pub(crate) async fn run(
    site: &mut demo_site::DemoSite,
    options: &demo_options::DemoOptions,
) -> ScriptResult {
    let begin = time::Instant::now();
    let mut result = ScriptResult {
        drained: true,
        ..ScriptResult::default()
    };
    match options.script {
        demo_options::ScriptKind::Calm => {
            wait_share(begin, options.span, 5).await;
            result.note_time = publish(site).await;
        }
        demo_options::ScriptKind::Faults => {
            wait_share(begin, options.span, 3).await;
            kill_instance(site);
            result.killed_at = Some(begin.elapsed());
            wait_share(begin, options.span, 5).await;
            site.unlist(KILLED_INSTANCE);
            kill_engine(site);
            wait_share(begin, options.span, 7).await;
            result.note_time = publish(site).await;
            wait_share(begin, options.span, 8).await;
            result.drained = site.drain(DRAINED_INSTANCE).await;
        }
        demo_options::ScriptKind::RollingRestart => {
            wait_share(begin, options.span, 1).await;
            result.note_time = publish(site).await;
            result.drained = restart_all(site, options).await;
        }
    }
    wait_share(begin, options.span, 10).await;
    result
}

/// Replaces every instance by a new one; returns whether all drains finished what was in flight.
async fn restart_all(site: &mut demo_site::DemoSite, options: &demo_options::DemoOptions) -> bool {
    let mut drained = true;
    for place in 0..site.instances.len() {
        // An instance that can't be started shows as one too few.
        let started = site.start_instance(options).await;
        drained &= started.is_ok();
        drained &= site.drain(place).await;
    }
    drained
}

/// Waits until so many tenths of the span have passed.
async fn wait_share(begin: time::Instant, span: time::Duration, tenths: u32) {
    let until = begin + span * tenths / 10;
    tokio::time::sleep_until(until.into()).await;
}

fn kill_instance(site: &mut demo_site::DemoSite) {
    let Some(instance) = site
        .instances
        .get_mut(KILLED_INSTANCE)
        .and_then(Option::take)
    else {
        return;
    };
    instance.kill();
    let balancer = std::sync::Arc::clone(&site.balancer);
    tokio::spawn(async move {
        // The balancer notices late.
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        balancer.remove(KILLED_INSTANCE);
    });
}

fn kill_engine(site: &demo_site::DemoSite) {
    if let Some(engine) = site.stands.decode.first() {
        engine.kill();
    }
}

/// Publishes a note that withdraws the first decode engine and adds a workspace.
async fn publish(site: &demo_site::DemoSite) -> Option<time::Duration> {
    let revision = ids::Revision(2);
    let mut note = site.stands.first_note();
    note.revision = revision;
    note.base = false;
    note.added = note::NoteEntries::default();
    note.added.workspaces.push(note::WorkspaceEntry {
        name: "harar".into(),
        weight: 1,
        in_flight_limit: 10,
    });
    let engine = site.stands.decode.first();
    let withdrawn = engine.map(|engine| engine.entry().name.clone());
    note.withdrawn.engines.extend(withdrawn);
    site.stands.publish(&note);
    let begin = time::Instant::now();
    let limit = NOTE_LIMIT * 2;
    let in_force = demo_site::wait_for(limit, || site.has_in_force(revision)).await;
    in_force.then(|| begin.elapsed())
}
