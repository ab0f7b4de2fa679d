//! Keeping the owners of cells informed of leases.

use std::collections;

use crate::{flow_stage, output, waste_cause};

impl super::FlowTable {
    pub(super) fn take_placed(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        placement: place::Placement,
        outputs: &mut Vec<output::Output>,
    ) {
        let request = placement.request;
        let wanted = self.flows.get(&request).filter(|flow| {
            flow.attempt == placement.attempt
                && matches!(
                    flow.stage,
                    flow_stage::FlowStage::Asking | flow_stage::FlowStage::Retargeting
                )
        });
        if wanted.is_none() {
            self.return_lease(from, &placement, outputs);
            return;
        }
        self.extension_interval = placement.expires_in / super::EXTENSIONS_PER_LEASE;
        let next_extension = now + self.extension_interval;
        if self.next_extension < now || self.next_extension > next_extension {
            self.next_extension = next_extension;
        }
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.owner = from;
        flow.asked = false;
        flow.lease_until = now + placement.expires_in;
        let start_at = now + placement.start_in;
        if flow.stage == flow_stage::FlowStage::Retargeting {
            flow.placement = Some(placement);
            self.import(now, request, outputs);
            return;
        }
        let engine = self.state.engines.get(&placement.prefill);
        flow.source = engine.map(|engine| engine.address);
        flow.placement = Some(placement);
        flow.stage = flow_stage::FlowStage::Waiting { start_at };
        if start_at > now {
            self.wake_at(request, start_at);
            return;
        }
        self.wake_at(request, clock::Timestamp::MAX);
        self.start_prefill(now, request, outputs);
    }

    /// Gives back a lease that nobody waits for, unless a request holds it.
    fn return_lease(
        &self,
        from: ids::InstanceId,
        placement: &place::Placement,
        outputs: &mut Vec<output::Output>,
    ) {
        let held = self.flows.get(&placement.request).is_some_and(|flow| {
            flow.placement
                .as_ref()
                .is_some_and(|held| held.lease == placement.lease)
        });
        if held {
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

    pub(super) fn take_revoked(
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
            self.lose_lease(now, request, outputs);
        }
    }

    /// Claims a revoked lease once more while work goes on under it, else asks anew.
    fn lose_lease(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        if matches!(flow.stage, flow_stage::FlowStage::Waiting { .. }) {
            self.replace(now, request, outputs);
            return;
        }
        if flow.reclaimed {
            self.redo(now, request, waste_cause::WasteCause::LeaseRevoked, outputs);
            return;
        }
        flow.reclaimed = true;
        if let (Some(claim), Some(owner)) = (flow.claim(), self.board.owner(flow.cell)) {
            flow.owner = owner;
            let claims = place::Message::Claims(flow.cell, vec![claim], false);
            outputs.push(output::Output::Send(owner, claims));
        }
    }

    /// Reports the leases of cells to their new owners.
    pub(super) fn claim_leases(
        &mut self,
        cells: &collections::BTreeSet<ids::CellId>,
        outputs: &mut Vec<output::Output>,
    ) {
        for cell in cells {
            if let Some(owner) = self.board.owner(*cell) {
                self.claim_cell(*cell, owner, outputs);
            }
        }
    }

    /// Reports the leases of a cell to the instance that counts them now.
    pub(super) fn claim_cell(
        &mut self,
        cell: ids::CellId,
        owner: ids::InstanceId,
        outputs: &mut Vec<output::Output>,
    ) {
        let mut claims = Vec::new();
        for flow in self.flows.values_mut().filter(|flow| flow.cell == cell) {
            let Some(claim) = flow.claim() else { continue };
            flow.owner = owner;
            claims.push(claim);
        }
        let message = place::Message::Claims(cell, claims, true);
        outputs.push(output::Output::Send(owner, message));
    }

    /// Tells every owner in short which of its leases are held here.
    pub(super) fn extend_leases(&mut self, outputs: &mut Vec<output::Output>) {
        let mut held: collections::BTreeMap<(ids::InstanceId, ids::CellId), place::LeaseDigest> =
            collections::BTreeMap::new();
        for flow in self.flows.values() {
            if let Some(placement) = &flow.placement {
                let digest = held.entry((flow.owner, flow.cell)).or_default();
                digest.add(placement.lease);
            }
        }
        for ((owner, cell), digest) in held {
            let message = place::Message::Holding(cell, digest);
            outputs.push(output::Output::Send(owner, message));
        }
    }

    pub(super) fn send_update(
        &self,
        request: ids::RequestId,
        phase: place::LeasePhase,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if let Some(update) = flow.update(phase) {
            let message = place::Message::Updates(vec![update]);
            outputs.push(output::Output::Send(flow.owner, message));
        }
    }
}
