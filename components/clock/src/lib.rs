//! Time as a value: the control core receives it and never reads it.

mod bounded_span;
mod clock_source;
mod system_clock;
mod timestamp;

pub use bounded_span::bounded_millis;
pub use clock_source::ClockSource;
pub use system_clock::SystemClock;
pub use timestamp::Timestamp;
