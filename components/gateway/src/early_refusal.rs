//! Requests that are answered before they are relayed: invalid ones, those without a route, and those
//! that their keys don't admit.

use std::time;

use crate::{decision_event, drain_tally, gateway, relay_answer, relay_request};

/// Retry delay that callers receive while the instance may lack the configuration that decides on
/// their keys. A copy of the configuration takes less.
const KEYS_NOT_KNOWN_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Retry delay that callers receive while there is no room for their requests. Small requests find
/// room as soon as one of the requests under way is answered.
const NO_ROOM_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Answer to a request that isn't relayed.
struct EarlyRefusal<'a> {
    answer: relay_answer::LocalAnswer,
    reason: Option<&'static str>,
    /// Name of the route, if one matched.
    route: Option<&'a str>,
    retry_after: Option<time::Duration>,
}

impl gateway::Gateway {
    /// Logs, counts and answers a request that is invalid or has no route.
    pub fn refuse_unrouted(
        &self,
        id: &str,
        arrived: clock::Timestamp,
        answer: relay_answer::LocalAnswer,
        retry_after: Option<time::Duration>,
    ) -> relay_answer::RelayAnswer {
        let reason = (answer == relay_answer::LocalAnswer::NotRun)
            .then(|| relay::RefusalReason::NoConfig.into());
        let refusal = EarlyRefusal {
            answer,
            reason,
            route: None,
            retry_after,
        };
        self.refuse_early(id, arrived, &refusal)
    }

    /// Logs, counts and answers a request that isn't whole when this instance ends.
    pub fn refuse_unread(&self, arrived: clock::Timestamp) -> relay_answer::RelayAnswer {
        let answer = relay_answer::LocalAnswer::NotRun;
        let outcome = drain_tally::DrainOutcome::Ended(answer);
        self.core.count_drained(outcome, arrived);
        let refusal = EarlyRefusal {
            answer,
            reason: Some(relay::DRAIN_REFUSAL.reason.into()),
            route: None,
            retry_after: Some(relay::DRAIN_REFUSAL.retry_after),
        };
        self.refuse_early("", arrived, &refusal)
    }

    /// Logs, counts and answers a request that wasn't read to its end.
    pub fn refuse_unheld(
        &self,
        arrived: clock::Timestamp,
        error: intake::IntakeError,
    ) -> relay_answer::RelayAnswer {
        let (answer, retry_after) = match error {
            intake::IntakeError::TooLarge => (relay_answer::LocalAnswer::TooLarge, None),
            intake::IntakeError::Broken => (relay_answer::LocalAnswer::BadRequest, None),
            intake::IntakeError::TimedOut => (relay_answer::LocalAnswer::NotRun, None),
            intake::IntakeError::NoRoom => {
                (relay_answer::LocalAnswer::NotRun, Some(NO_ROOM_RETRY_AFTER))
            }
        };
        let is_refusal = answer == relay_answer::LocalAnswer::NotRun;
        let reason = is_refusal.then(|| error.into());
        if let Some(reason) = reason {
            self.metrics.refused(reason);
        }
        let refusal = EarlyRefusal {
            answer,
            reason,
            route: None,
            retry_after,
        };
        self.refuse_early("", arrived, &refusal)
    }

    /// Logs, counts and answers a request that its key doesn't admit.
    pub(crate) fn refuse_key(
        &self,
        request: &relay_request::RelayRequest,
        arrived: clock::Timestamp,
        route: &str,
        config_version: u64,
        refusal: relay::KeyRefusal,
    ) -> relay_answer::RelayAnswer {
        let (answer, retry_after) = match refusal {
            relay::KeyRefusal::UnknownKey => (relay_answer::LocalAnswer::Unauthorized, None),
            relay::KeyRefusal::KeysNotKnown => (
                relay_answer::LocalAnswer::NotRun,
                Some(KEYS_NOT_KNOWN_RETRY_AFTER),
            ),
        };
        let standing = self.core.decide(|core, now| core.config_standing(now));
        self.log.write(&decision_event::DecisionEvent::KeyRefused {
            id: &request.id,
            route,
            key: request.key.into(),
            reason: refusal.into(),
            config_version,
            outdated_ms: standing.outdated_for.map(gateway::millis),
            view_age_ms: standing.view_age.map(gateway::millis),
        });
        self.metrics.refused(refusal.into());
        let refusal = EarlyRefusal {
            answer,
            reason: Some(refusal.into()),
            route: Some(route),
            retry_after,
        };
        self.refuse_early(&request.id, arrived, &refusal)
    }

    /// Logs, counts and answers a request that isn't relayed.
    fn refuse_early(
        &self,
        id: &str,
        arrived: clock::Timestamp,
        refusal: &EarlyRefusal<'_>,
    ) -> relay_answer::RelayAnswer {
        let answer = refusal.answer;
        let took = self.core.now().since(arrived);
        self.log.write(&decision_event::DecisionEvent::Ended {
            id,
            route: refusal.route,
            workspace: None,
            outcome: answer.into(),
            reason: refusal.reason,
            status: Some(answer.status().as_u16()),
            server: None,
            attempts: 0,
            took_ms: gateway::millis(took),
            first_event_ms: None,
            longest_pause_ms: None,
            events: None,
            retry_after_ms: refusal.retry_after.map(gateway::millis),
        });
        self.metrics.ended("none", answer.into(), None, took);
        relay_answer::RelayAnswer::Local {
            answer,
            retry_after: refusal.retry_after,
        }
    }
}
