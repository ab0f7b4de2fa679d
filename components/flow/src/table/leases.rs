//! Leases: placements, revocations, and the updates, digests and claims sent to cell owners.

use std::collections;

use crate::{flow_stage, output, waste_cause};

impl super::FlowTable {
    /// Handles a placement; the lease of an unexpected placement is released.
    pub(super) fn handle_placement(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        placement: place::Placement,
        outputs: &mut Vec<output::Output>,
    ) {
        let request = placement.request;
        let expected = self.flows.get(&request).filter(|flow| {
            flow.attempt == placement.attempt
                && matches!(
                    flow.stage,
                    flow_stage::FlowStage::Requesting | flow_stage::FlowStage::Retargeting
                )
        });
        if expected.is_none() {
            self.release_unexpected_lease(from, &placement, outputs);
            return;
        }
        self.digest_interval = placement.expires_in / super::DIGESTS_PER_LEASE;
        let next_digest = now + self.digest_interval;
        // Resets a time that passed while the table was empty or that exceeds the new interval.
        if self.next_digest < now || self.next_digest > next_digest {
            self.next_digest = next_digest;
        }
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.owner = from;
        flow.awaits_response = false;
        flow.lease_until = now + placement.expires_in;
        let start_at = now + placement.start_in;
        if flow.stage == flow_stage::FlowStage::Retargeting {
            flow.placement = Some(placement);
            self.import(now, request, outputs);
            return;
        }
        let engine = self.state.engines.get(&placement.prefill);
        flow.source_address = engine.map(|engine| engine.address);
        flow.placement = Some(placement);
        flow.stage = flow_stage::FlowStage::Waiting { start_at };
        if start_at > now {
            self.wake_at(request, start_at);
            return;
        }
        self.wake_at(request, clock::Timestamp::MAX);
        self.start_prefill(now, request, outputs);
    }

    /// Releases the lease of a placement that was not expected, unless a request holds the lease.
    fn release_unexpected_lease(
        &self,
        from: ids::InstanceId,
        placement: &place::Placement,
        outputs: &mut Vec<output::Output>,
    ) {
        let is_held = self.flows.get(&placement.request).is_some_and(|flow| {
            flow.placement
                .as_ref()
                .is_some_and(|held| held.lease == placement.lease)
        });
        if is_held {
            return;
        }
        let update = place::LeaseUpdate {
            lease: placement.lease,
            request: placement.request,
            phase: place::LeasePhase::Released,
            generated_tokens: 0,
        };
        outputs.push(output::Output::Send(
            from,
            place::Message::Updates(vec![update]),
        ));
    }

    /// Handles the revocation of leases by their owner.
    pub(super) fn handle_revocations(
        &mut self,
        now: clock::Timestamp,
        leases: &[ids::LeaseId],
        outputs: &mut Vec<output::Output>,
    ) {
        let revoked: Vec<ids::RequestId> = self
            .flows
            .iter()
            .filter(|(_, flow)| {
                flow.placement
                    .as_ref()
                    .is_some_and(|placement| leases.contains(&placement.lease))
            })
            .map(|(request, _)| *request)
            .collect();
        for request in revoked {
            self.handle_revocation(now, request, outputs);
        }
    }

    /// Claims a revoked lease once more if its work has started.
    ///
    /// If prefill has not started, or after a second revocation, the request is placed again if
    /// possible.
    fn handle_revocation(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        if matches!(flow.stage, flow_stage::FlowStage::Waiting { .. }) {
            self.request_new_placement(now, request, outputs);
            return;
        }
        if flow.claimed_again {
            self.restart_after_loss(now, request, waste_cause::WasteCause::LeaseRevoked, outputs);
            return;
        }
        flow.claimed_again = true;
        if let (Some(claim), Some(owner)) = (flow.lease_claim(), self.directory.owner(flow.cell)) {
            flow.owner = owner;
            // The flag is false because the claim is not the whole list of the cell's leases.
            let claims = place::Message::Claims(flow.cell, vec![claim], false);
            outputs.push(output::Output::Send(owner, claims));
        }
    }

    /// Sends claims of the leases of cells to their new owners.
    pub(super) fn send_claims_for_cells(
        &mut self,
        cells: &collections::BTreeSet<ids::CellId>,
        outputs: &mut Vec<output::Output>,
    ) {
        for cell in cells {
            if let Some(owner) = self.directory.owner(*cell) {
                self.send_claims(*cell, owner, outputs);
            }
        }
    }

    /// Sends claims of all leases of a cell to its owner.
    pub(super) fn send_claims(
        &mut self,
        cell: ids::CellId,
        owner: ids::InstanceId,
        outputs: &mut Vec<output::Output>,
    ) {
        let mut claims = Vec::new();
        for flow in self.flows.values_mut().filter(|flow| flow.cell == cell) {
            let Some(claim) = flow.lease_claim() else {
                continue;
            };
            flow.owner = owner;
            claims.push(claim);
        }
        let message = place::Message::Claims(cell, claims, true);
        outputs.push(output::Output::Send(owner, message));
    }

    /// Sends every owner a digest of the leases held in each of its cells.
    ///
    /// A matching digest extends the leases.
    pub(super) fn send_lease_digests(&mut self, outputs: &mut Vec<output::Output>) {
        let mut digests: collections::BTreeMap<(ids::InstanceId, ids::CellId), place::LeaseDigest> =
            collections::BTreeMap::new();
        for flow in self.flows.values() {
            if let Some(placement) = &flow.placement {
                let digest = digests.entry((flow.owner, flow.cell)).or_default();
                digest.add(placement.lease);
            }
        }
        for ((owner, cell), digest) in digests {
            let message = place::Message::Holding(cell, digest);
            outputs.push(output::Output::Send(owner, message));
        }
    }

    /// Sends an update of a request's lease to its owner.
    pub(super) fn send_update(
        &self,
        request: ids::RequestId,
        phase: place::LeasePhase,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if let Some(update) = flow.lease_update(phase) {
            let message = place::Message::Updates(vec![update]);
            outputs.push(output::Output::Send(flow.owner, message));
        }
    }
}
