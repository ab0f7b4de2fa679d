//! The HTTP side that callers see: model requests, calls to plain services, health.
//!
//! Handlers check a request, register a session in the [`SessionBook`] and hand its description
//! to the control core through a [`ControlPort`]. Prompts, bodies and tokens stay in the session;
//! whoever carries out the core's actions finds them there.

mod answer_progress;
mod answer_session;
mod answer_shape;
mod answer_stream;
mod body_reader;
mod call_handler;
mod call_session;
mod caller_guard;
mod chat_request;
mod completion_request;
mod control_port;
mod entry_context;
mod entry_error;
mod entry_router;
mod entry_server;
mod error_answer;
mod generation_handler;
mod generation_query;
mod header_filter;
mod load_gate;
mod outcome_answer;
mod request_numbers;
mod service_route;
#[cfg(test)]
mod service_route_tests;
mod session_book;
mod site_handlers;
mod token_piece;
mod trace_source;
mod whole_answer;

pub use answer_progress::{AnswerProgress, TokenVerdict};
pub use answer_session::AnswerSession;
pub use call_session::CallSession;
pub use control_port::ControlPort;
pub use entry_context::EntryContext;
pub use entry_server::EntryServer;
pub use load_gate::LoadGate;
pub use request_numbers::RequestNumbers;
pub use service_route::ServiceRoute;
pub use session_book::SessionBook;
pub use token_piece::TokenPiece;

/// Header field that says what became of a request.
pub const OUTCOME_HEADER: &str = "plantainreach-outcome";

/// Header field that names a request.
pub const REQUEST_HEADER: &str = "plantainreach-request";

/// Header field by which a caller picks a request class.
pub const CLASS_HEADER: &str = "plantainreach-class";

/// Header field under which a caller may repeat a non-idempotent call.
pub const KEY_HEADER: &str = "idempotency-key";
