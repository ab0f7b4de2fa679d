//! Faulty behaviours of workers in the soak test.

use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::common::{
    fake_worker::Behaviour,
    spoiled_answer::{AnswerCopy, ForeignBlock, StreamEnd, StreamHead},
};

/// Behaviours of servers and engines. Those that fit only one of them do nothing at the other.
const BEHAVIOURS: [Behaviour; 31] = [
    Behaviour::Cut,
    Behaviour::Garbage,
    Behaviour::Extra,
    Behaviour::WrongRequestId,
    Behaviour::NotRun,
    Behaviour::NotRunUnnamed,
    Behaviour::NotRunSigned(200),
    Behaviour::NotRunSigned(503),
    Behaviour::LateRefusal,
    Behaviour::CopyBefore(AnswerCopy::UnnamedRefusal),
    Behaviour::CopyBefore(AnswerCopy::UnnamedMisdirection),
    Behaviour::CopyBefore(AnswerCopy::UnnamedFailure),
    Behaviour::CopyBefore(AnswerCopy::LastControl),
    Behaviour::BackOff("0.4"),
    Behaviour::Close,
    Behaviour::Slow,
    Behaviour::Fail,
    Behaviour::NoLength,
    Behaviour::NoLengthBreakAfter(2),
    Behaviour::EndlessHead,
    Behaviour::EndlessBody,
    Behaviour::BreakAfter(2),
    Behaviour::StallAfter(3),
    Behaviour::ForeignAfter(0, ForeignBlock::Head),
    Behaviour::ForeignAfter(2, ForeignBlock::Head),
    Behaviour::ForeignAfter(2, ForeignBlock::Text),
    Behaviour::ForeignAfter(3, ForeignBlock::Skipped),
    Behaviour::ForeignAtOnceAfter(2),
    Behaviour::OddHead(StreamHead::Partial),
    Behaviour::OddHead(StreamHead::PlainText),
    Behaviour::OddHead(StreamHead::Unsigned),
];

/// One of this many faults is an answer that stops in its head.
const STOP_PERIOD: u32 = 10;

/// Number of bytes after which an answer stops at the latest.
const MAX_STOP_BYTES: usize = 140;

/// Chooses a behaviour.
pub fn choose(random: &mut rand_chacha::ChaCha8Rng) -> Behaviour {
    if random.random_range(0..STOP_PERIOD) == 0 {
        let end = if random.random() {
            StreamEnd::Close
        } else {
            StreamEnd::Reset
        };
        return Behaviour::StopsAfter(random.random_range(0..MAX_STOP_BYTES), end);
    }
    *BEHAVIOURS
        .choose(random)
        .expect("the list of behaviours is not empty")
}
