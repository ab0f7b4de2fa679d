//! Duration of one placement decision in a cell of the largest size with 1,000 queued requests.
//!
//! `cargo bench -p place --bench decision` prints divan's statistics, then the percentiles of
//! single decisions.

use std::{sync, time};

/// Number of engines in the cell, a third of which are prefill engines.
const ENGINES: u32 = 64;

/// Number of queued requests.
const QUEUED: u128 = 1_000;

/// Number of decisions measured for the percentiles.
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
    let cell = *owner.owned().keys().next().expect("no cell is owned");
    let claims = place::Message::Claims(cell, Vec::new(), true);
    owner.handle(now, place::Input::Message(OWNER, claims), &mut outputs);
    let mut full = FullCell {
        owner,
        cell,
        now,
        next: 0,
    };
    while full.queued() < QUEUED {
        full.send_request();
    }
    full
}

impl FullCell {
    fn queued(&self) -> u128 {
        let planner = self.owner.planner(self.cell).expect("cell has no planner");
        planner.queue.len() as u128
    }

    /// Measures the handling of one placement request, then withdraws it to keep the queue length.
    fn decide(&mut self) -> time::Duration {
        let start = time::Instant::now();
        self.send_request();
        let elapsed = start.elapsed();
        let request = ids::RequestId(self.next);
        let message = place::Message::Withdraw(request, ids::AttemptNumber(0));
        let mut outputs = Vec::new();
        let input = place::Input::Message(OWNER, message);
        self.owner.handle(self.now, input, &mut outputs);
        elapsed
    }

    fn send_request(&mut self) {
        self.next += 1;
        let request = place::PlacementRequest::builder()
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
        let input = place::Input::Message(OWNER, place::Message::Request(request));
        self.owner.handle(self.now, input, &mut outputs);
        divan::black_box(&outputs);
    }
}

#[divan::bench]
fn one_request_with_thousand_queued(bencher: divan::Bencher) {
    let mut full = full_cell();
    bencher.bench_local(|| full.decide());
}

fn main() {
    divan::main();
    let mut full = full_cell();
    let mut durations = hdrhistogram::Histogram::<u64>::new_with_max(1_000_000_000, 3)
        .expect("histogram bounds are invalid");
    for _ in 0..DECISIONS {
        let nanos = u64::try_from(full.decide().as_nanos()).unwrap_or(u64::MAX);
        durations.saturating_record(nanos);
    }
    for percentile in [50.0, 99.0, 99.9] {
        let micros = durations.value_at_percentile(percentile) as f64 / 1e3;
        println!("p{percentile}: {micros:.1} us, {} waiting", full.queued());
    }
}
