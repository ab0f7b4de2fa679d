//! Role changes of flexible engines.

impl super::OrderReconciler {
    /// Selects flexible engines for the roles whose demand has persisted.
    pub(super) fn assign_roles(&mut self, now: clock::Timestamp) {
        let due: Vec<(ids::CellId, note::EngineRole)> = self
            .planners
            .iter()
            .filter_map(|(cell, planner)| Some((*cell, planner.due_role(now)?)))
            .collect();
        for (cell, role) in due {
            let Some(engine) = self.role_candidate(cell, role) else {
                continue;
            };
            if let Some(record) = self.records.get_mut(&engine) {
                record.target_role = Some(role);
                record.next_poll = now;
            }
            if let Some(planner) = self.planners.get_mut(&cell) {
                planner.record_change(now);
            }
        }
    }

    /// Returns a flexible engine that may change to `role`; at least one other engine of the cell
    /// keeps a different role.
    pub(super) fn role_candidate(
        &self,
        cell: ids::CellId,
        role: note::EngineRole,
    ) -> Option<ids::ServerName> {
        let in_other_roles: Vec<&ids::ServerName> = self
            .records
            .iter()
            .filter(|(_, record)| record.cell == cell && record.open.is_none())
            .filter(|(_, record)| {
                record
                    .status
                    .as_ref()
                    .is_some_and(|(_, status)| status.role != role)
            })
            .map(|(engine, _)| engine)
            .collect();
        if in_other_roles.len() < 2 {
            return None;
        }
        in_other_roles
            .into_iter()
            .find(|engine| {
                self.state
                    .engines
                    .get(*engine)
                    .is_some_and(|entry| entry.role == note::EngineRole::Flexible)
            })
            .cloned()
    }
}
