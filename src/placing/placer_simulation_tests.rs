//! The same load through few and many entries, in virtual time.
//!
//! Engines read prompts one after the other and hold a request for a while;
//! reports of them come every 40 ms. What is played are [`choose`],
//! [`Contention`] and [`PlaceTable`] themselves.

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{PlaceKey, PlaceTable};
use crate::Time;
use crate::direct::Contention;
use crate::direct::balance::{Candidate, Load, Pace, choose};

/// Engines of the hall, and what each takes at a time.
const ENGINES: usize = 16;
const SLOTS: u32 = 12;
/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 20.0;
/// How long an answer takes after its first token, in milliseconds.
const ANSWER_MS: u64 = 700;
/// Mean prompt tokens of a request.
const PROMPT: f64 = 900.0;
/// Within which the first token is in time, in milliseconds.
const OBJECTIVE_MS: u64 = 400;
/// Between two reports, in milliseconds.
const REPORT_MS: u64 = 40;
/// A message between entries, in milliseconds.
const WAY_MS: u64 = 2;
/// How long an entry waits for its placer, in milliseconds.
const PATIENCE_MS: u64 = 12;
/// One datagram in so many is lost.
const LOST: u32 = 200;
/// How long the load lasts, in milliseconds.
const LASTS_MS: u64 = 12_000;

/// What an entry, or the placer, knows of engines.
struct View {
    loads: Vec<Load>,
    contention: Contention,
    offsets: Vec<f64>,
}

impl View {
    fn new(rng: &mut SmallRng) -> View {
        View {
            loads: vec![Load::default(); ENGINES],
            contention: Contention::new(),
            offsets: (0..ENGINES).map(|_| rng.random()).collect(),
        }
    }

    fn choose(&mut self, tokens: u32) -> Option<usize> {
        let pace = Pace {
            slots: SLOTS,
            tokens_per_ms: TOKENS_PER_MS,
            usual_prompt: PROMPT,
            entries: self.contention.entries(),
            slot_ms: 70.0,
        };
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|i| Candidate {
                load: self.loads[i],
                pace,
                near: true,
                queue: 0,
                offset: self.offsets[i],
                delay_ms: 0.0,
                slowdown: 1.0,
                most_ms: OBJECTIVE_MS as f64 / 2.0,
            })
            .collect();
        let chosen = choose(&candidates)?;
        self.loads[chosen].own_pending += 1;
        self.loads[chosen].own_pending_tokens += tokens;
        Some(chosen)
    }

    fn began(&mut self, engine: usize, tokens: u32) {
        self.loads[engine].own_pending -= 1;
        self.loads[engine].own_pending_tokens -= tokens;
        self.loads[engine].own_running += 1;
    }

    fn ended(&mut self, engine: usize) {
        self.loads[engine].own_running -= 1;
    }

    fn report(&mut self, engine: usize, pending: u32, running: u32) {
        let load = &mut self.loads[engine];
        let own = load.own();
        *load = load.reported(pending, running);
        self.contention.note(own, pending + running);
    }
}

/// What happens at a time.
enum Event {
    Arrive {
        entry: usize,
    },
    /// The entry has waited for its placer in vain.
    Alone {
        entry: usize,
        since: u64,
        tokens: u32,
    },
    Send {
        entry: usize,
        engine: usize,
        since: u64,
        tokens: u32,
        own: bool,
    },
    Begin {
        entry: usize,
        engine: usize,
        tokens: u32,
        own: bool,
        number: u64,
    },
    End {
        entry: usize,
        engine: usize,
        own: bool,
        number: u64,
    },
    Report,
}

/// One play of the load.
struct Play {
    rng: SmallRng,
    events: HashMap<u64, Vec<Event>>,
    entries: Vec<View>,
    placer: Option<View>,
    table: PlaceTable<(usize, u32)>,
    /// When each engine has read the prompts that it has.
    read_until: Vec<f64>,
    counts: Vec<(u32, u32)>,
    numbers: u64,
    asked: u32,
    in_time: u32,
    now: u64,
}

/// Returns the share that gets its first token in time.
fn in_time(entries: usize, placing: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let views = (0..entries).map(|_| View::new(&mut rng)).collect();
    let placer = placing.then(|| View::new(&mut rng));
    let mut play = Play {
        rng,
        events: HashMap::new(),
        entries: views,
        placer,
        table: PlaceTable::new(),
        read_until: vec![0.0; ENGINES],
        counts: vec![(0, 0); ENGINES],
        numbers: 0,
        asked: 0,
        in_time: 0,
        now: 0,
    };
    // As much as the engines' slots bear: 16 x 12 / 0.75 s, less a tenth.
    let per_ms = 0.23;
    let mut at = 0.0;
    while (at as u64) < LASTS_MS {
        let gap: f64 = play.rng.random();
        at -= (1.0 - gap).ln() / per_ms;
        let entry = play.rng.random_range(0..entries);
        play.at(at as u64, Event::Arrive { entry });
    }
    for at in (0..LASTS_MS).step_by(REPORT_MS as usize) {
        play.at(at, Event::Report);
    }
    for now in 0..LASTS_MS + 3_000 {
        play.now = now;
        // Events of a time may lead to others at the same time.
        while let Some(events) = play.events.remove(&now) {
            for event in events {
                play.happen(event);
            }
        }
    }
    f64::from(play.in_time) / f64::from(play.asked)
}

impl Play {
    fn at(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn lost(&mut self) -> bool {
        self.rng.random_range(0..LOST) == 0
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive { entry } => self.arrive(entry),
            Event::Alone { entry, since, tokens } => {
                let chosen = self.entries[entry].choose(tokens);
                let Some(engine) = chosen else { return };
                let own = true;
                let send = Event::Send { entry, engine, since, tokens, own };
                self.at(now, send);
            }
            Event::Send { entry, engine, since, tokens, own } => {
                self.send(entry, engine, since, tokens, own);
            }
            Event::Begin { entry, engine, tokens, own, number } => {
                self.counts[engine].0 -= 1;
                self.counts[engine].1 += 1;
                let end = Event::End { entry, engine, own, number };
                self.at(now + ANSWER_MS, end);
                if own {
                    self.entries[entry].began(engine, tokens);
                    return;
                }
                let known = self.table.get_mut(&key(entry, number)).is_some();
                if let Some(placer) = &mut self.placer
                    && known
                {
                    placer.began(engine, tokens);
                }
            }
            Event::End { entry, engine, own, number } => {
                self.counts[engine].1 -= 1;
                if own {
                    self.entries[entry].ended(engine);
                } else if self.table.remove(&key(entry, number)).is_some()
                    && let Some(placer) = &mut self.placer
                {
                    placer.ended(engine);
                }
            }
            Event::Report => self.report(),
        }
    }

    fn arrive(&mut self, entry: usize) {
        let (now, since) = (self.now, self.now);
        let spread: f64 = self.rng.random();
        let tokens = (PROMPT * (0.2 + 1.6 * spread)) as u32;
        self.asked += 1;
        let lost = self.lost();
        let alone = Event::Alone { entry, since, tokens };
        let Some(placer) = &mut self.placer else {
            return self.at(now, alone);
        };
        if lost {
            return self.at(now + PATIENCE_MS, alone);
        }
        let Some(engine) = placer.choose(tokens) else { return };
        let own = false;
        let send = Event::Send { entry, engine, since, tokens, own };
        self.at(now + 2 * WAY_MS, send);
    }

    fn send(
        &mut self,
        entry: usize,
        engine: usize,
        since: u64,
        tokens: u32,
        own: bool,
    ) {
        let now = self.now;
        self.numbers += 1;
        let number = self.numbers;
        if !own {
            let left = Duration::from_secs(6);
            let place = (engine, tokens);
            let time = Time::from_millis(now);
            self.table.insert(key(entry, number), place, time, left);
        }
        let (pending, running) = self.counts[engine];
        let begin = self.read_until[engine].max(now as f64)
            + f64::from(tokens) / TOKENS_PER_MS;
        self.read_until[engine] = begin;
        // One too many waits until a slot is free.
        let over = (pending + running + 1).saturating_sub(SLOTS);
        let wait = u64::from(over) * ANSWER_MS / u64::from(SLOTS);
        let begin = begin as u64 + wait + 1;
        self.counts[engine].0 += 1;
        if begin - since <= OBJECTIVE_MS {
            self.in_time += 1;
        }
        let event = Event::Begin { entry, engine, tokens, own, number };
        self.at(begin, event);
    }

    fn report(&mut self) {
        for engine in 0..ENGINES {
            let (pending, running) = self.counts[engine];
            let views = self.placer.iter_mut().chain(&mut self.entries);
            for view in views {
                view.report(engine, pending, running);
            }
        }
    }
}

fn key(entry: usize, number: u64) -> PlaceKey {
    let last = u8::try_from(entry).unwrap();
    PlaceKey { requester: ([10, 0, 0, last], 7700).into(), number }
}

/// In time by themselves: 0.987 through 4 entries, 0.837 through 16, 0.727
/// through 64, 0.654 through 149; placed: 0.985 to 0.990.
#[test]
fn placing_by_the_hall_bears_many_entries() {
    let one = in_time(1, true);
    for entries in [4, 16, 64, 149] {
        let alone = in_time(entries, false);
        let placed = in_time(entries, true);
        println!("{entries}: {alone:.3} alone, {placed:.3} placed");
        assert!(placed > one - 0.02, "{entries}: {placed} against {one}");
        assert!(entries < 64 || placed > alone + 0.03);
    }
}
