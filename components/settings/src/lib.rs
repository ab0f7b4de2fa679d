//! Settings of an instance: their format, defaults and checks.
