//! An instance: drives the control core with a thread of its own and carries traffic.
