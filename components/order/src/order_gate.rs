//! Whether this instance may order at all.

use std::time;

/// Time between becoming the owner and the first order to an engine that checks numbers.
pub const FENCED_HOLD_OFF: time::Duration = time::Duration::from_secs(2);

/// Time between becoming the owner and the first order to an engine that checks nothing.
///
/// It exceeds the time within which another instance notices a silent owner, plus the time within
/// which the first byte of an order must leave.
pub const UNFENCED_HOLD_OFF: time::Duration = time::Duration::from_secs(15);

/// Returns whether `view` allows orders: fresh, whole, and showing a majority of what it knows.
pub(crate) fn allows_orders(view: &member::MemberView) -> bool {
    let alive = view.usable().count();
    view.fresh && !view.partitioned && alive * 2 > view.members.len()
}

/// Returns the time an owner waits before its first order to an engine.
pub(crate) const fn hold_off(fencing: note::FencingSupport) -> time::Duration {
    match fencing {
        note::FencingSupport::Enforced => FENCED_HOLD_OFF,
        note::FencingSupport::Ignored => UNFENCED_HOLD_OFF,
    }
}
