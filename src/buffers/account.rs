//! The account of buffered bytes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::BufferBounds;
use crate::Time;

/// Identifies a holder of buffered bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// What a holder buffers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BufferUse {
    /// The body of a request, which is held until the request has ended. Its
    /// size has a bound of its own, so that of a connection does not apply.
    Request,
    /// An answer, which is held until its caller has read it.
    Answer,
}

/// The bound that a piece does not fit into.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BufferLimit {
    /// That of its connection: only its own reader makes room.
    Connection,
    /// That of its workspace.
    Workspace,
    /// That of the process.
    Process,
}

/// Whether a piece may be buffered now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// It is counted.
    Admitted,
    /// The sender has to wait.
    Wait(BufferLimit),
}

#[derive(Debug)]
struct Holder {
    kind: BufferUse,
    workspace: Option<Arc<str>>,
    held: u64,
    /// When its reader last took something, or when it began to hold bytes.
    moved_at: Time,
}

/// The buffered bytes of one process.
#[derive(Debug)]
pub struct BufferAccount {
    bounds: BufferBounds,
    total: u64,
    workspaces: HashMap<Arc<str>, u64>,
    holders: BTreeMap<HolderId, Holder>,
    next_id: u64,
    /// When unread answers were last looked for.
    checked_at: Option<Time>,
}

impl BufferAccount {
    /// The longest interval between two calls of [`BufferAccount::unread`] in
    /// a process that checks twice a second. After a longer one the process
    /// was stopped for a while, and its callers could read nothing.
    pub const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);

    /// Returns an account without holders.
    pub fn new(bounds: BufferBounds) -> BufferAccount {
        BufferAccount {
            bounds,
            total: 0,
            workspaces: HashMap::new(),
            holders: BTreeMap::new(),
            next_id: 0,
            checked_at: None,
        }
    }

    /// Adds a holder without bytes.
    pub fn open(
        &mut self,
        kind: BufferUse,
        workspace: Option<Arc<str>>,
        now: Time,
    ) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder { kind, workspace, held: 0, moved_at: now };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder and its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.subtract(holder.workspace.as_ref(), holder.held);
        }
    }

    /// Counts a piece that a holder is to buffer, if there is room for it.
    pub fn take(&mut self, id: HolderId, bytes: u64, now: Time) -> Room {
        let limit = self.exceeded(id, bytes);
        let Some(holder) = self.holders.get_mut(&id) else {
            return Room::Wait(BufferLimit::Connection);
        };
        if let Some(limit) = limit {
            return Room::Wait(limit);
        }
        if holder.held == 0 {
            holder.moved_at = now;
        }
        holder.held += bytes;
        self.total += bytes;
        if let Some(workspace) = &holder.workspace {
            let sum = self.workspaces.entry(Arc::clone(workspace));
            *sum.or_default() += bytes;
        }
        Room::Admitted
    }

    /// Returns the bound that a further piece would exceed, if any.
    fn exceeded(&self, id: HolderId, bytes: u64) -> Option<BufferLimit> {
        let holder = self.holders.get(&id)?;
        let held = holder.held + bytes;
        let total = self.total + bytes;
        if holder.kind == BufferUse::Answer && held > self.bounds.connection()
        {
            return Some(BufferLimit::Connection);
        }
        if held <= BufferBounds::FLOOR {
            let full = total > self.bounds.process();
            return full.then_some(BufferLimit::Process);
        }
        let sum = holder.workspace.as_ref().map(|w| self.of_workspace(w));
        if sum.unwrap_or(0) + bytes > self.bounds.workspace() {
            return Some(BufferLimit::Workspace);
        }
        let full = total > self.bounds.shared();
        full.then_some(BufferLimit::Process)
    }

    /// Subtracts a piece that the reader of a holder has taken.
    pub fn release(&mut self, id: HolderId, bytes: u64, now: Time) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let bytes = bytes.min(holder.held);
        holder.held -= bytes;
        holder.moved_at = now;
        let workspace = holder.workspace.clone();
        self.subtract(workspace.as_ref(), bytes);
    }

    fn subtract(&mut self, workspace: Option<&Arc<str>>, bytes: u64) {
        self.total -= bytes;
        let Some(workspace) = workspace else { return };
        let Some(sum) = self.workspaces.get_mut(workspace) else { return };
        *sum -= bytes;
        if *sum == 0 {
            self.workspaces.remove(workspace);
        }
    }

    /// Returns the holders of answers to cut, since their readers have taken
    /// nothing for too long. While the process is short of buffers these are
    /// at first those that have taken nothing for a part of that time.
    pub fn unread(&mut self, now: Time) -> Vec<HolderId> {
        let last = self.checked_at.replace(now).unwrap_or(now);
        if now.since(last) > BufferAccount::MAX_CHECK_INTERVAL {
            for holder in self.holders.values_mut() {
                holder.moved_at = now;
            }
        }
        let limit = self.bounds.unread(self.total);
        let mut ids = Vec::new();
        for (id, holder) in &self.holders {
            let idle = now.since(holder.moved_at);
            let answer = holder.kind == BufferUse::Answer;
            if answer && holder.held > 0 && idle >= limit {
                ids.push(*id);
            }
        }
        ids
    }

    /// Returns the bytes of one holder.
    pub fn held(&self, id: HolderId) -> u64 {
        self.holders.get(&id).map_or(0, |holder| holder.held)
    }

    /// Returns the bytes of one workspace.
    pub fn of_workspace(&self, workspace: &Arc<str>) -> u64 {
        self.workspaces.get(workspace).copied().unwrap_or(0)
    }

    /// Returns the bytes of all holders together.
    pub const fn total(&self) -> u64 {
        self.total
    }
}
