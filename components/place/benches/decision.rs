//! Time of one placement decision in a full cell with a full queue.
//!
//! `cargo bench -p place --bench decision` prints divan's figures, then the percentiles of single
//! decisions.

use std::{sync, time};

/// Engines of the cell, a third of them for prefill.
const ENGINES: u32 = 64;

/// Asks that wait.
const QUEUED: u128 = 1_000;

/// Decisions timed for the percentiles.
const DECISIONS: u128 = 20_000;

const OWNER: ids::InstanceId = ids::InstanceId(1);

struct FullCell {
    owner: place::CellOwner,
    cell: ids::CellId,
    now: clock::Timestamp,
    next: u128,
}

fn engine(number: u32) -> note::EngineEntry {
    let role = if number.is_multiple_of(3) {
        note::EngineRole::Prefill
    } else {
        note::EngineRole::Decode
    };
    note::EngineEntry::builder()
        .name(format!("engine-{number}"))
        .address(([10, 0, 0, 1], 7_000))
        .region("region")
        .data_centre("dc-1")
        .role(role)
        .models(vec!["model".into()])
        .decode_slots(20_u32)
        .kv_pieces(120_u32)
        .prefill_tokens_per_second(20_000_u32)
        .link_tokens_per_second(200_000_u32)
        .full_batch_token_ms(40_u32)
        .retention_ms(800_u32)
        .build()
}

fn state() -> note::StateInForce {
    let mut state = note::StateInForce::default();
    for number in 0..ENGINES {
        let entry = engine(number);
        state.engines.insert(entry.name.clone(), entry);
    }
    let target = note::ClassTarget::Generation(note::GenerationClass {
        models: vec!["model".into()],
        first_token_ms: 710,
        token_pace_ms: 55,
        priority: 0,
        expected_output_tokens: 80,
        output_limit_tokens: 400,
        can_wait_ms: 7_200_000,
    });
    let class = note::RequestClass {
        name: "class".into(),
        target,
    };
    state.classes.insert("class".into(), class);
    state
}

fn view() -> member::MemberView {
    let instance = border::InstanceEntry::builder()
        .id(OWNER)
        .address(([10, 0, 0, 9], 9_000))
        .region("region")
        .data_centre("dc-1")
        .build();
    let member = member::MemberEntry {
        instance,
        incarnation: ids::Incarnation(1),
        state: member::MemberState::Alive,
    };
    member::MemberView {
        own: OWNER,
        fresh: true,
        members: [(OWNER, member)].into(),
        ..member::MemberView::default()
    }
}

fn full_cell() -> FullCell {
    let mut owner = place::CellOwner::new(OWNER, 7);
    let now = clock::Timestamp::from_millis(1_000);
    let mut outputs = Vec::new();
    let state = place::Input::State(sync::Arc::new(state()));
    owner.handle(now, state, &mut outputs);
    let view = place::Input::View(sync::Arc::new(view()));
    owner.handle(now, view, &mut outputs);
    for number in 0..ENGINES {
        let name = format!("engine-{number}").into();
        let list = place::Input::Running(name, Some(Vec::new()));
        owner.handle(now, list, &mut outputs);
    }
    let cell = *owner.owned().keys().next().expect("one cell is owned");
    let claims = place::Message::Claims(cell, Vec::new(), true);
    owner.handle(now, place::Input::Message(OWNER, claims), &mut outputs);
    let mut full = FullCell {
        owner,
        cell,
        now,
        next: 0,
    };
    while full.queued() < QUEUED {
        full.ask();
    }
    full
}

impl FullCell {
    fn queued(&self) -> u128 {
        let planner = self.owner.planner(self.cell).expect("it is owned");
        planner.queue.len() as u128
    }

    /// Lets one ask come and withdraws it, so that the queue keeps its length.
    fn decide(&mut self) -> time::Duration {
        let began = time::Instant::now();
        self.ask();
        let taken = began.elapsed();
        let request = ids::RequestId(self.next);
        let message = place::Message::Withdraw(request, ids::AttemptNumber(0));
        let mut outputs = Vec::new();
        let input = place::Input::Message(OWNER, message);
        self.owner.handle(self.now, input, &mut outputs);
        taken
    }

    fn ask(&mut self) {
        self.next += 1;
        let ask = place::PlaceAsk::builder()
            .cell(self.cell)
            .request(ids::RequestId(self.next))
            .attempt(ids::AttemptNumber(0))
            .class("class")
            .workspace("workspace")
            .model("model")
            .prompt_tokens(2_000_u32)
            .max_tokens(400_u32)
            .prefix_blocks((0..8).collect::<Vec<_>>())
            .first_token_within(time::Duration::from_millis(700))
            .build();
        let mut outputs = Vec::new();
        let input = place::Input::Message(OWNER, place::Message::Ask(ask));
        self.owner.handle(self.now, input, &mut outputs);
        divan::black_box(&outputs);
    }
}

#[divan::bench]
fn one_ask_with_a_thousand_waiting(bencher: divan::Bencher) {
    let mut full = full_cell();
    bencher.bench_local(|| full.decide());
}

fn main() {
    divan::main();
    let mut full = full_cell();
    let mut taken = hdrhistogram::Histogram::<u64>::new_with_max(1_000_000_000, 3)
        .expect("the bounds are allowed");
    for _ in 0..DECISIONS {
        let nanos = u64::try_from(full.decide().as_nanos()).unwrap_or(u64::MAX);
        taken.saturating_record(nanos);
    }
    for percentile in [50.0, 99.0, 99.9] {
        let micros = taken.value_at_percentile(percentile) as f64 / 1e3;
        println!("p{percentile}: {micros:.1} us, {} waiting", full.queued());
    }
}
