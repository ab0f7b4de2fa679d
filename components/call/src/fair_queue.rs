//! Calls that wait for a backend server, shared fairly between workspaces.

use std::{cmp, collections};

/// Where a call waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueTicket {
    /// Priority of the call; higher goes first.
    pub priority: u8,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Position within workspace and priority, given by the queue.
    pub position: u64,
}

/// The waiting calls of one workspace at one priority.
#[derive(Clone, Debug, Default)]
struct WorkspaceLine {
    calls: collections::BTreeMap<u64, ids::RequestId>,
    /// Calls that the workspace may still send in its turn.
    turn: u32,
}

/// The waiting calls of one priority; workspaces take turns by deficit round robin.
#[derive(Clone, Debug, Default)]
struct PriorityBand {
    lines: collections::BTreeMap<ids::WorkspaceName, WorkspaceLine>,
    turns: collections::VecDeque<ids::WorkspaceName>,
}

/// A bounded queue: higher priorities first, workspaces by weight within a priority.
///
/// When the queue is full, the workspace with the most waiting calls loses its newest one.
#[derive(Clone, Debug)]
pub struct FairQueue {
    bands: collections::BTreeMap<cmp::Reverse<u8>, PriorityBand>,
    by_length: collections::BTreeSet<(usize, ids::WorkspaceName)>,
    lengths: collections::BTreeMap<ids::WorkspaceName, usize>,
    length: usize,
    limit: usize,
    next_position: u64,
}

impl FairQueue {
    /// Makes an empty queue of at most `limit` calls.
    pub const fn new(limit: usize) -> Self {
        Self {
            bands: collections::BTreeMap::new(),
            by_length: collections::BTreeSet::new(),
            lengths: collections::BTreeMap::new(),
            length: 0,
            limit,
            next_position: 0,
        }
    }

    /// Returns the number of waiting calls.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no call waits.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a call and returns where it waits, and the call that lost its place, if any; that
    /// may be the added one.
    pub fn push(
        &mut self,
        request: ids::RequestId,
        workspace: &ids::WorkspaceName,
        priority: u8,
    ) -> (QueueTicket, Option<ids::RequestId>) {
        let ticket = QueueTicket {
            priority,
            workspace: workspace.clone(),
            position: self.next_position,
        };
        self.next_position += 1;
        let band = self.bands.entry(cmp::Reverse(priority)).or_default();
        let line = band.lines.entry(workspace.clone()).or_insert_with(|| {
            band.turns.push_back(workspace.clone());
            WorkspaceLine::default()
        });
        line.calls.insert(ticket.position, request);
        self.count(workspace, 1);
        let evicted = (self.length > self.limit).then(|| self.evict()).flatten();
        (ticket, evicted)
    }

    /// Takes the next call; `weight` gives the share of a workspace.
    pub fn pop(
        &mut self,
        weight: impl Fn(&ids::WorkspaceName) -> u32,
    ) -> Option<(ids::RequestId, ids::WorkspaceName)> {
        let mut entry = self.bands.first_entry()?;
        let band = entry.get_mut();
        let workspace = band.turns.front()?.clone();
        let line = band.lines.get_mut(&workspace)?;
        if line.turn == 0 {
            line.turn = weight(&workspace).max(1);
        }
        line.turn -= 1;
        let (_, request) = line.calls.pop_first()?;
        let ends_turn = line.turn == 0;
        if line.calls.is_empty() {
            band.lines.remove(&workspace);
            band.turns.pop_front();
        } else if ends_turn {
            band.turns.rotate_left(1);
        }
        if band.lines.is_empty() {
            entry.remove();
        }
        self.count(&workspace, -1);
        Some((request, workspace))
    }

    /// Removes a waiting call; does nothing when it waits no more.
    pub fn remove(&mut self, ticket: &QueueTicket) {
        let Some(band) = self.bands.get_mut(&cmp::Reverse(ticket.priority)) else {
            return;
        };
        let Some(line) = band.lines.get_mut(&ticket.workspace) else {
            return;
        };
        if line.calls.remove(&ticket.position).is_none() {
            return;
        }
        if line.calls.is_empty() {
            band.lines.remove(&ticket.workspace);
            band.turns
                .retain(|workspace| *workspace != ticket.workspace);
        }
        if band.lines.is_empty() {
            self.bands.remove(&cmp::Reverse(ticket.priority));
        }
        self.count(&ticket.workspace, -1);
    }

    fn evict(&mut self) -> Option<ids::RequestId> {
        let (_, workspace) = self.by_length.last()?.clone();
        let (priority, band) = self
            .bands
            .iter()
            .rev()
            .find(|(_, band)| band.lines.contains_key(&workspace))?;
        let (position, request) = band.lines.get(&workspace)?.calls.last_key_value()?;
        let request = *request;
        let ticket = QueueTicket {
            priority: priority.0,
            workspace,
            position: *position,
        };
        self.remove(&ticket);
        Some(request)
    }

    fn count(&mut self, workspace: &ids::WorkspaceName, change: isize) {
        let old = self.lengths.remove(workspace).unwrap_or(0);
        self.by_length.remove(&(old, workspace.clone()));
        let new = old.saturating_add_signed(change);
        self.length = self.length.saturating_add_signed(change);
        if new > 0 {
            self.lengths.insert(workspace.clone(), new);
            self.by_length.insert((new, workspace.clone()));
        }
    }
}
