//! A small site in one process.
