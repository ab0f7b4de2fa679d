//! Requests charged to the limits of their workspaces.
//!
//! Answers callers of a workspace that together ask for more than its limit: on arrival, before any
//! queue or placement.

use std::time;

use crate::{
    fleet_contact, instance_update, limit_refusal, limit_report, relay_core, spend_report,
    spending_knowledge, workspace_limits,
};

/// What a workspace has spent of its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpending {
    /// Name of the workspace.
    pub workspace: ids::WorkspaceName,
    /// Limit in units per second, of all instances.
    pub rate: f64,
    /// Units per second that all instances have drawn recently, as far as this one knows.
    pub spending: f64,
}

impl relay_core::RelayCore {
    /// Charges a request with `tokens` tokens, if it states their number, to its workspace.
    pub fn charge(
        &mut self,
        now: clock::Timestamp,
        workspace: &workspace::WorkspaceRule,
        tokens: Option<u32>,
    ) -> limit_refusal::ChargeOutcome {
        if workspace.limit.is_none() {
            return limit_refusal::ChargeOutcome::Unlimited;
        }
        let contact = self.refresh_limit_share(now);
        let settling = self.limit_settling(now);
        let Some(budget) = self.workspace_limits.budget_mut(&workspace.name) else {
            return limit_refusal::ChargeOutcome::Unlimited;
        };
        let units = budget.limit.cost(tokens);
        let workspace = spend_report::workspace_hash(&workspace.name);
        let outcome = if budget.draw(now, units) {
            let charge = limit_refusal::WorkspaceCharge { workspace, units };
            limit_refusal::ChargeOutcome::Charged(charge)
        } else {
            let refusal = budget.refuse(now, units, settling, &contact, &mut self.random);
            limit_refusal::ChargeOutcome::Refused(refusal)
        };
        self.workspace_limits.mark_unsent(workspace);
        outcome
    }

    /// Gives back what a request has drawn that was not run and will not be run.
    pub fn give_back(&mut self, now: clock::Timestamp, charge: limit_refusal::WorkspaceCharge) {
        self.workspace_limits.give_back(now, charge);
    }

    /// Returns the limits of the workspaces.
    #[must_use]
    pub const fn workspace_limits(&self) -> &workspace_limits::WorkspaceLimits {
        &self.workspace_limits
    }

    /// Returns what the workspaces with limits have spent, the largest spending first, at most
    /// `count`.
    #[must_use]
    pub fn spending(&self, now: clock::Timestamp, count: usize) -> Vec<WorkspaceSpending> {
        let budgets = self.workspace_limits.budgets();
        let mut spending: Vec<_> = budgets
            .map(|budget| WorkspaceSpending {
                workspace: budget.name.clone(),
                rate: budget.limit.rate,
                spending: budget.shared.spending(now),
            })
            .collect();
        spending.sort_by(|one, other| other.spending.total_cmp(&one.spending));
        spending.truncate(count);
        spending
    }

    /// Takes the limits of the workspaces from the configuration in force.
    pub(super) fn refresh_workspaces(&mut self, now: clock::Timestamp) {
        let config = self.tracker.view().config.as_ref();
        let Some(config) = config else {
            return;
        };
        let is_known = config.workspaces.is_empty() && self.workspace_limits.is_empty();
        if !is_known {
            self.workspace_limits.configure(now, config);
        }
    }

    /// Recomputes the share of the limits that the instances in touch use; returns which are in touch.
    pub(super) fn refresh_limit_share(
        &mut self,
        now: clock::Timestamp,
    ) -> fleet_contact::FleetContact {
        // A process that starts while it is cut off knows of the others only by its settings.
        let expects_seeds = now < clock::Timestamp::default() + spending_knowledge::LONE_TIME;
        let timeout = spending_knowledge::SILENCE_TIMEOUT;
        let contact = self.instances.contact(now, timeout, expects_seeds);
        let has_others = self.instances.seeds().next().is_some();
        self.spending_knowledge.is_settled(now, has_others);
        let share = self.spending_knowledge.share(&contact);
        self.workspace_limits.set_share(now, share);
        contact
    }

    /// Returns whether this process knows what the fleet has spent.
    pub(super) fn knows_spending(&mut self, now: clock::Timestamp) -> bool {
        let has_others = self.instances.seeds().next().is_some();
        self.spending_knowledge.is_settled(now, has_others)
    }

    /// Returns whether an update comes from an instance that was out of touch. Called before the
    /// update is applied.
    pub(super) fn is_return(
        &mut self,
        now: clock::Timestamp,
        update: &instance_update::InstanceUpdate,
    ) -> bool {
        if self.workspace_limits.is_empty() {
            return false;
        }
        let contact = self.refresh_limit_share(now);
        let silence = self.instances.silence(now, update.address);
        silence.is_some_and(|silence| self.spending_knowledge.is_return(now, &contact, silence))
    }

    /// Applies what a new update tells of the spending of its sender. `is_return` tells that the
    /// sender was out of touch until then.
    pub(super) fn apply_spending(
        &mut self,
        now: clock::Timestamp,
        source: limit_report::ReportSource,
        is_return: bool,
        reports: &[spend_report::SpendReport],
    ) {
        if is_return {
            self.workspace_limits.record_return(now, source.address);
        }
        self.workspace_limits
            .apply_reports(now, source.draw_source(), reports);
    }

    /// Returns the time until this process knows what the fleet has spent, if it doesn't yet.
    fn limit_settling(&self, now: clock::Timestamp) -> Option<time::Duration> {
        let has_others = self.instances.seeds().next().is_some();
        let settling = self.spending_knowledge.settling(now, has_others);
        (!settling.is_zero()).then_some(settling)
    }
}
