//! Conditions under which this instance may send orders.

use std::time;

/// Time between becoming the owner and the first order to an engine that checks fencing numbers.
pub const FENCED_HOLD_OFF: time::Duration = time::Duration::from_secs(2);

/// Time between becoming the owner and the first order to an engine that does not check fencing
/// numbers.
///
/// Such an engine does not reject orders of the previous owner. The time therefore exceeds the time
/// within which another instance detects a failed owner, plus the time within which the first byte
/// of an order must be sent.
pub const UNFENCED_HOLD_OFF: time::Duration = time::Duration::from_secs(15);

/// Returns whether `view` permits orders: it is fresh, not partitioned, and a majority of its
/// members is usable.
pub(crate) fn allows_orders(view: &member::MemberView) -> bool {
    let usable = view.usable().count();
    view.fresh && !view.partitioned && usable * 2 > view.members.len()
}

/// Returns the time between becoming the owner and the first order to an engine.
pub(crate) const fn hold_off(fencing: note::FencingSupport) -> time::Duration {
    match fencing {
        note::FencingSupport::Enforced => FENCED_HOLD_OFF,
        note::FencingSupport::Ignored => UNFENCED_HOLD_OFF,
    }
}
