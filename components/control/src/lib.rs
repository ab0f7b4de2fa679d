//! The control core: every decision of an instance, without I/O.
//!
//! [`ControlCore`] composes the state machines of membership, release notes, placement, model
//! requests, calls and engine orders. It takes an [`Event`] with the time and returns
//! [`Action`]s; the daemon, tests and any other driver run the same code. Equal events and seeds
//! give equal actions.

mod action;
mod control_core;
mod core_config;
mod event;

pub use action::Action;
pub use control_core::ControlCore;
pub use core_config::CoreConfig;
pub use event::Event;
