//! Roles of flexible engines.

impl super::OrderReconciler {
    /// Picks flexible engines for the roles that demand has asked for long enough.
    pub(super) fn choose_roles(&mut self, now: clock::Timestamp) {
        let due: Vec<(ids::CellId, note::EngineRole)> = self
            .planners
            .iter()
            .filter_map(|(cell, planner)| Some((*cell, planner.due_role(now)?)))
            .collect();
        for (cell, role) in due {
            let Some(engine) = self.role_candidate(cell, role) else {
                continue;
            };
            if let Some(track) = self.tracks.get_mut(&engine) {
                track.wanted_role = Some(role);
                track.read_at = now;
            }
            if let Some(planner) = self.planners.get_mut(&cell) {
                planner.note_change(now);
            }
        }
    }

    /// Returns a flexible engine that may take `role` without being the last in its present one.
    pub(super) fn role_candidate(
        &self,
        cell: ids::CellId,
        role: note::EngineRole,
    ) -> Option<ids::ServerName> {
        let others: Vec<&ids::ServerName> = self
            .tracks
            .iter()
            .filter(|(_, track)| track.cell == cell && track.open.is_none())
            .filter(|(_, track)| {
                track
                    .status
                    .as_ref()
                    .is_some_and(|(_, status)| status.role != role)
            })
            .map(|(engine, _)| engine)
            .collect();
        if others.len() < 2 {
            return None;
        }
        others
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
