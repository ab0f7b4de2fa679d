//! Bounds what others make a process hold: connections, heads and bodies of requests.
//!
//! A [`ConnectionTable`] decides, without I/O, which connections and bodies a process keeps when there
//! isn't room for all. The load that it answers: many clients that send as much as they may, stop
//! short of the end and stay connected, beside ordinary callers whose requests are small and soon
//! whole. What has been held largest and longest without being whole is given up first, so that
//! ordinary requests find room as long as the crowd hasn't requests under way that fill it.
//!
//! Around it, an [`Intake`] shares one table among the listeners of a process, a
//! [`ConnectionListener`] accepts connections, a [`GuardedStream`] breaks off a connection that was
//! given up, and [`read_body`] reads a body within the bounds.

mod answering_body;
mod body_buffer;
mod body_reader;
mod close_step;
mod connection_class;
mod connection_listener;
mod connection_phase;
mod connection_signal;
mod connection_slot;
mod connection_table;
mod guarded_stream;
mod intake_counts;
mod intake_error;
mod intake_limits;
mod request_share;
mod shared_intake;
mod table_entry;
mod table_verdict;
mod turned_away;

pub use answering_body::AnsweringBody;
pub use body_reader::{BodyTerms, HeldBody, read_body};
pub use connection_class::ConnectionClass;
pub use connection_listener::{ConnectionListener, system_descriptors};
pub use connection_phase::ConnectionPhase;
pub use connection_slot::ConnectionSlot;
pub use connection_table::{ConnectionKey, ConnectionTable, EndReason};
pub use guarded_stream::GuardedStream;
pub use intake_counts::IntakeCounts;
pub use intake_error::IntakeError;
pub use intake_limits::{IntakeLimits, IntakeTimeouts};
pub use request_share::RequestShare;
pub use shared_intake::{DEFAULT_DESCRIPTORS, Intake};
pub use table_verdict::{AdmitVerdict, GrowVerdict};
pub use turned_away::TurnedAway;
