//! Target versions: when each process holds a version to be outdated.
//!
//! Versions are set one after another; the platform keeps the newest one
//! only. A process that is connected hears of each as it is set. One that
//! starts, or comes back from a cut, reads the newest and presumes when it
//! was set. Processes tell one another single versions, with the time if it
//! isn't presumed; what they tell arrives at any later time or never.
//!
//! The table is this specification's own, as short as the rules allow.

use crate::Spec;

/// A rule of the table that a mutant omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// No rule: the unmodified table.
    Nothing,
    /// A presumed time is only corrected where no version in between can be
    /// missing.
    Gap,
    /// Older versions than the newest known are inserted.
    Insert,
    /// What a process reads after a start or a cut is presumed to have been
    /// set while it could not hear of it.
    Presume,
}

impl Without {
    /// All rules.
    pub const RULES: [Without; 3] =
        [Without::Gap, Without::Insert, Without::Presume];
}

/// How far the exploration goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The last tick.
    pub ticks: i8,
    /// The newest version; the first one is held by all at the start.
    pub versions: u8,
    /// Cuts and restarts in all.
    pub disruptions: u8,
    /// The most messages on their way.
    pub messages: usize,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// The omitted rule.
    pub without: Without,
    /// How far it goes.
    pub bounds: Bounds,
}

/// Ticks within which requests begin on a version that was set.
const BOUND: i8 = 3;

/// Ticks for which a process was connected once it is in touch.
const CONTACT: i8 = 1;

/// The number of processes.
const PROCESSES: usize = 2;

/// What a process knows of a version.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Known {
    version: u8,
    since: i8,
    /// Whether `since` is no presumption.
    exact: bool,
    /// The version before it, between which and it none was set.
    previous: Option<u8>,
    /// No version that is missing before it was set earlier.
    unheard: i8,
}

/// What one process tells another of a version.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Message {
    to: usize,
    version: u8,
    since: Option<i8>,
    previous: Option<u8>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Process {
    connected: bool,
    /// When it last started or was connected again.
    from: i8,
    /// When it was last connected, if it isn't.
    contact: i8,
    /// What it knows, in ascending order.
    table: Vec<Known>,
    /// Of each version, whether it was told when it was set.
    told: u8,
}

/// A state of the modelled system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    now: i8,
    /// When each version was set.
    set: Vec<i8>,
    disruptions: u8,
    processes: Vec<Process>,
    messages: Vec<Message>,
}

impl Process {
    /// Returns when a version became outdated, as far as it knows.
    fn outdated_since(&self, version: u8) -> Option<i8> {
        let newer = self.table.iter().find(|k| k.version > version)?;
        if newer.previous.is_some_and(|p| p <= version) {
            return Some(newer.since);
        }
        Some(newer.since.min(newer.unheard))
    }

    fn in_touch(&self, now: i8) -> bool {
        self.connected && now >= self.from + CONTACT
    }

    fn newest(&self) -> u8 {
        self.table.last().map_or(0, |k| k.version)
    }

    /// Takes the newest version from the platform after a time in which it
    /// heard nothing, from `presumed` on.
    fn read(&mut self, newest: u8, presumed: i8) {
        if newest <= self.newest() {
            return;
        }
        self.table.push(Known {
            version: newest,
            since: presumed,
            exact: false,
            previous: None,
            unheard: presumed,
        });
    }
}

impl State {
    fn newest(&self) -> u8 {
        self.set.len() as u8
    }

    /// Returns when the first version newer than one was set.
    fn outdated_since(&self, version: u8) -> Option<i8> {
        self.set.get(usize::from(version)).copied()
    }
}

impl Targets {
    fn set_next(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.newest() >= self.bounds.versions {
            return;
        }
        let mut to = state.clone();
        to.set.push(state.now);
        let version = to.newest();
        for process in &mut to.processes {
            if !process.connected {
                continue;
            }
            process.table.push(Known {
                version,
                since: state.now,
                exact: true,
                previous: Some(process.newest()),
                unheard: state.now,
            });
        }
        next.push((format!("version {version} is set"), to));
    }

    fn disrupt(&self, state: &State, next: &mut Vec<(String, State)>) {
        let now = state.now;
        for (index, process) in state.processes.iter().enumerate() {
            if !process.connected {
                let mut to = state.clone();
                let back = &mut to.processes[index];
                (back.connected, back.from) = (true, now);
                let presumed = match self.without {
                    Without::Presume => now,
                    _ => back.contact,
                };
                back.read(state.newest(), presumed);
                back.contact = 0;
                next.push((format!("process {index} is connected"), to));
            }
            if state.disruptions >= self.bounds.disruptions {
                continue;
            }
            if process.connected {
                let mut to = state.clone();
                to.disruptions += 1;
                let cut = &mut to.processes[index];
                (cut.connected, cut.contact) = (false, now);
                next.push((format!("process {index} is cut off"), to));
            }
            let mut to = state.clone();
            to.disruptions += 1;
            let mut started = Process {
                connected: true,
                from: now,
                contact: 0,
                table: Vec::new(),
                told: 0,
            };
            let presumed = match self.without {
                Without::Presume => now,
                _ => now + CONTACT - BOUND,
            };
            started.read(state.newest(), presumed);
            to.processes[index] = started;
            next.push((format!("process {index} restarts"), to));
        }
    }

    fn tell(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.messages.len() >= self.bounds.messages {
            return;
        }
        for (from, process) in state.processes.iter().enumerate() {
            for known in &process.table {
                let version = known.version;
                let to = (from + 1) % PROCESSES;
                let since = known.exact.then_some(known.since);
                let previous = known.previous.filter(|_| known.exact);
                let message = Message { to, version, since, previous };
                let mut next_state = state.clone();
                next_state.messages.push(message);
                next_state.messages.sort_unstable();
                next_state.messages.dedup();
                if next_state.messages.len() == state.messages.len() {
                    continue;
                }
                let what = format!("process {from} tells {version}");
                next.push((what, next_state));
            }
        }
    }

    fn receive(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (index, message) in state.messages.iter().enumerate() {
            let mut lost = state.clone();
            lost.messages.remove(index);
            let mut to = lost.clone();
            let version = message.version;
            let receiver = message.to;
            next.push((format!("what is told of {version} is lost"), lost));
            self.merge(&mut to.processes[receiver], message);
            next.push((format!("process {receiver} hears of {version}"), to));
        }
    }

    fn merge(&self, process: &mut Process, message: &Message) {
        let version = message.version;
        if message.since.is_some() {
            process.told |= 1 << version;
        }
        let place = process.table.iter().position(|k| k.version >= version);
        let place = place.unwrap_or(process.table.len());
        let later = process.table.get(place).copied();
        if later.is_none_or(|k| k.version != version) {
            if later.is_some() && self.without == Without::Insert {
                return;
            }
            // One that is newer than all it knows was set since it was cut.
            let unheard = later.map_or(process.contact, |k| k.unheard);
            let known = Known {
                version,
                since: unheard,
                exact: false,
                previous: None,
                unheard,
            };
            process.table.insert(place, known);
        }
        let known = &mut process.table[place];
        let Some(since) = message.since else { return };
        (known.since, known.exact) = (since, true);
        known.previous = message.previous.or(known.previous);
        if self.without == Without::Gap {
            known.unheard = since;
        }
    }
}

impl Spec for Targets {
    type State = State;

    fn start(&self) -> State {
        let first = Known {
            version: 1,
            since: 0,
            exact: true,
            previous: Some(0),
            unheard: 0,
        };
        let process = Process {
            connected: true,
            from: -CONTACT,
            contact: 0,
            table: vec![first],
            told: 0,
        };
        State {
            now: 0,
            set: vec![0],
            disruptions: 0,
            processes: vec![process; PROCESSES],
            messages: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.set_next(state, &mut next);
        self.disrupt(state, &mut next);
        self.tell(state, &mut next);
        self.receive(state, &mut next);
        if state.now < self.bounds.ticks {
            let mut to = state.clone();
            to.now += 1;
            next.push(("the clock advances".to_string(), to));
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        for process in &state.processes {
            for version in 1..state.newest() {
                let known = process.outdated_since(version);
                let truth = state.outdated_since(version);
                let starts = known.is_none_or(|k| state.now < k + BOUND);
                let late = truth.is_some_and(|t| state.now > t + BOUND);
                if starts && late && process.in_touch(state.now) {
                    return Some("a request starts on an outdated version");
                }
                let told = process.told >> (version + 1) & 1 == 1;
                if told && known != truth {
                    return Some("told when, and not known");
                }
            }
        }
        None
    }
}
