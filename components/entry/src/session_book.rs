//! The sessions under way.

use std::{collections, sync};

use crate::{answer_session, call_session};

/// The sessions under way at one instance, by request.
#[derive(Default)]
pub struct SessionBook {
    answers:
        sync::Mutex<collections::HashMap<ids::RequestId, sync::Arc<answer_session::AnswerSession>>>,
    calls: sync::Mutex<collections::HashMap<ids::RequestId, sync::Arc<call_session::CallSession>>>,
}

impl SessionBook {
    /// Returns the session of a model request, unless it has ended.
    #[must_use]
    pub fn answer(
        &self,
        request: ids::RequestId,
    ) -> Option<sync::Arc<answer_session::AnswerSession>> {
        lock(&self.answers).get(&request).cloned()
    }

    /// Returns the session of a call, unless it has ended.
    #[must_use]
    pub fn call(&self, request: ids::RequestId) -> Option<sync::Arc<call_session::CallSession>> {
        lock(&self.calls).get(&request).cloned()
    }

    /// Ends the session of a model request.
    pub fn remove_answer(
        &self,
        request: ids::RequestId,
    ) -> Option<sync::Arc<answer_session::AnswerSession>> {
        lock(&self.answers).remove(&request)
    }

    /// Ends the session of a call.
    pub fn remove_call(
        &self,
        request: ids::RequestId,
    ) -> Option<sync::Arc<call_session::CallSession>> {
        lock(&self.calls).remove(&request)
    }

    /// Returns the number of sessions under way.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.answers).len() + lock(&self.calls).len()
    }

    /// Returns whether no session is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn insert_answer(&self, session: sync::Arc<answer_session::AnswerSession>) {
        lock(&self.answers).insert(session.request(), session);
    }

    pub(crate) fn insert_call(
        &self,
        request: ids::RequestId,
        session: sync::Arc<call_session::CallSession>,
    ) {
        lock(&self.calls).insert(request, session);
    }
}

fn lock<Value>(mutex: &sync::Mutex<Value>) -> sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
