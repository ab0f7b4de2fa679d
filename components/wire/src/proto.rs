//! Code generated from `proto/peer.proto`.

#![expect(
    missing_docs,
    clippy::allow_attributes,
    reason = "the generator decides on the form of its code"
)]

include!("generated/plantainreach.peer.v1.rs");
