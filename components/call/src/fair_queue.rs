//! Queue of calls that wait for a backend server, with fair shares for workspaces.

use std::{cmp, collections};

/// Position of a call in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueTicket {
    /// Priority of the call; calls with a higher value are dequeued first.
    pub priority: u8,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Sequence number assigned by the queue.
    pub sequence: u64,
}

/// Queued calls of one workspace at one priority.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    calls: collections::BTreeMap<u64, ids::RequestId>,
    /// Calls that the workspace may still dequeue in its current turn.
    deficit: u32,
}

/// Queued calls of one priority; workspaces are scheduled by deficit round robin.
#[derive(Clone, Debug, Default)]
struct PriorityBand {
    queues: collections::BTreeMap<ids::WorkspaceName, WorkspaceQueue>,
    rotation: collections::VecDeque<ids::WorkspaceName>,
}

/// Bounded queue ordered by priority, with weighted fair shares for workspaces within a priority.
///
/// When the queue is full, the newest call with the lowest priority of the workspace with the most
/// queued calls is evicted.
#[derive(Clone, Debug)]
pub struct FairQueue {
    bands: collections::BTreeMap<cmp::Reverse<u8>, PriorityBand>,
    by_length: collections::BTreeSet<(usize, ids::WorkspaceName)>,
    lengths: collections::BTreeMap<ids::WorkspaceName, usize>,
    length: usize,
    limit: usize,
    next_sequence: u64,
}

impl FairQueue {
    /// Creates an empty queue of at most `limit` calls.
    pub const fn new(limit: usize) -> Self {
        Self {
            bands: collections::BTreeMap::new(),
            by_length: collections::BTreeSet::new(),
            lengths: collections::BTreeMap::new(),
            length: 0,
            limit,
            next_sequence: 0,
        }
    }

    /// Returns the number of queued calls.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no call is queued.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a call and returns its ticket and the call evicted from the full queue, if any.
    ///
    /// The evicted call may be the added one.
    pub fn push(
        &mut self,
        request: ids::RequestId,
        workspace: &ids::WorkspaceName,
        priority: u8,
    ) -> (QueueTicket, Option<ids::RequestId>) {
        let ticket = QueueTicket {
            priority,
            workspace: workspace.clone(),
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let band = self.bands.entry(cmp::Reverse(priority)).or_default();
        let queue = band.queues.entry(workspace.clone()).or_insert_with(|| {
            band.rotation.push_back(workspace.clone());
            WorkspaceQueue::default()
        });
        queue.calls.insert(ticket.sequence, request);
        self.change_length(workspace, 1);
        let evicted = (self.length > self.limit).then(|| self.evict()).flatten();
        (ticket, evicted)
    }

    /// Removes and returns the next call.
    ///
    /// `weight` returns the number of calls that a workspace may dequeue in one turn.
    pub fn pop(
        &mut self,
        weight: impl Fn(&ids::WorkspaceName) -> u32,
    ) -> Option<(ids::RequestId, ids::WorkspaceName)> {
        let mut entry = self.bands.first_entry()?;
        let band = entry.get_mut();
        let workspace = band.rotation.front()?.clone();
        let queue = band.queues.get_mut(&workspace)?;
        if queue.deficit == 0 {
            queue.deficit = weight(&workspace).max(1);
        }
        queue.deficit -= 1;
        let (_, request) = queue.calls.pop_first()?;
        let is_turn_over = queue.deficit == 0;
        if queue.calls.is_empty() {
            band.queues.remove(&workspace);
            band.rotation.pop_front();
        } else if is_turn_over {
            band.rotation.rotate_left(1);
        }
        if band.queues.is_empty() {
            entry.remove();
        }
        self.change_length(&workspace, -1);
        Some((request, workspace))
    }

    /// Removes a queued call; does nothing when the call is no longer queued.
    pub fn remove(&mut self, ticket: &QueueTicket) {
        let Some(band) = self.bands.get_mut(&cmp::Reverse(ticket.priority)) else {
            return;
        };
        let Some(queue) = band.queues.get_mut(&ticket.workspace) else {
            return;
        };
        if queue.calls.remove(&ticket.sequence).is_none() {
            return;
        }
        if queue.calls.is_empty() {
            band.queues.remove(&ticket.workspace);
            band.rotation
                .retain(|workspace| *workspace != ticket.workspace);
        }
        if band.queues.is_empty() {
            self.bands.remove(&cmp::Reverse(ticket.priority));
        }
        self.change_length(&ticket.workspace, -1);
    }

    fn evict(&mut self) -> Option<ids::RequestId> {
        let (_, workspace) = self.by_length.last()?.clone();
        let (priority, band) = self
            .bands
            .iter()
            .rev()
            .find(|(_, band)| band.queues.contains_key(&workspace))?;
        let (sequence, request) = band.queues.get(&workspace)?.calls.last_key_value()?;
        let request = *request;
        let ticket = QueueTicket {
            priority: priority.0,
            workspace,
            sequence: *sequence,
        };
        self.remove(&ticket);
        Some(request)
    }

    fn change_length(&mut self, workspace: &ids::WorkspaceName, change: isize) {
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
