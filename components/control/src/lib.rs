//! The control core: all decisions of an instance, without I/O.
//!
//! [`ControlCore`] composes the state machines of membership, release notes, placement, model
//! requests, calls and engine orders. It accepts an [`Event`] with the current time and returns
//! [`Action`]s. The daemon, tests and simulations drive the same code. The core is deterministic:
//! equal events and seeds result in equal actions.

mod action;
mod control_core;
mod core_config;
mod event;

pub use action::Action;
pub use control_core::ControlCore;
pub use core_config::CoreConfig;
pub use event::Event;
