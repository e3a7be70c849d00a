//! A breadth-first walk over all states, by several threads.
//!
//! What was seen is kept as 64-bit fingerprints, each with that of the state before. So
//! the first broken rule is found in the fewest steps, and the way there is walked again
//! to be told. Two states with the same fingerprint would pass for one: with ten
//! million states the chance is one in about 400,000.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, BuildHasherDefault, Hasher};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use foldhash::quality::FixedState;

/// A world in which anything may happen next that its steps tell.
pub trait Model: Sync {
    type State: Clone + Send + Sync;
    type Step: Send;
    /// What must hold in every state.
    type Rule: Copy + Send;

    /// The states that it begins with.
    fn starts(&self) -> Vec<Self::State>;
    /// What can happen next, and the states after it.
    fn next(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;
    /// The rule that is broken in a state.
    fn broken(&self, state: &Self::State) -> Option<Self::Rule>;
    /// Feeds all that tells one state from another.
    fn hash(&self, state: &Self::State, hasher: &mut impl Hasher);
}

/// The steps from a start to a state, with the states between.
pub type Way<M> = Vec<(<M as Model>::Step, <M as Model>::State)>;

/// The fingerprint of a state that breaks a rule, and the rule.
type Breach<M> = (u64, <M as Model>::Rule);

/// How many threads, and how many states at the most.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub threads: usize,
    pub states: usize,
}

pub struct Outcome<M: Model> {
    pub states: usize,
    /// The longest shortest way to a state, in steps.
    pub depth: usize,
    pub took: Duration,
    /// All states were seen, or a rule was broken before.
    pub whole: bool,
    pub broken: Option<(M::Rule, Way<M>)>,
}

/// Fingerprints are hashes already.
#[derive(Default)]
struct AsItIs(u64);

impl Hasher for AsItIs {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.0 = self.0 << 8 | u64::from(*b));
    }
    fn write_u64(&mut self, n: u64) {
        self.0 = n;
    }
}

/// The state before, and whether there is one.
type Seen = HashMap<u64, u64, BuildHasherDefault<AsItIs>>;

const SHARDS: usize = 64;

struct Walk<M> {
    world: M,
    seen: Vec<Mutex<Seen>>,
}

impl<M: Model> Walk<M> {
    /// Never 0, which stands for "none".
    fn fingerprint(&self, state: &M::State) -> u64 {
        let mut hasher = FixedState::default().build_hasher();
        self.world.hash(state, &mut hasher);
        hasher.finish().max(1)
    }

    /// Whether a state is new.
    fn enter(&self, print: u64, before: u64) -> bool {
        let shard = &self.seen[(print >> 58) as usize % SHARDS];
        match shard.lock().unwrap_or_else(PoisonError::into_inner).entry(print) {
            Entry::Occupied(_) => false,
            Entry::Vacant(v) => {
                v.insert(before);
                true
            }
        }
    }

    fn before(&self, print: u64) -> u64 {
        let shard = &self.seen[(print >> 58) as usize % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner).get(&print).copied().unwrap_or(0)
    }

    /// The new states after some, and the least fingerprint among those that break a rule.
    fn expand(&self, states: &[M::State]) -> (Vec<M::State>, Option<Breach<M>>) {
        let (mut found, mut broken) = (Vec::new(), None::<(u64, M::Rule)>);
        for state in states {
            let before = self.fingerprint(state);
            for (_, next) in self.world.next(state) {
                let print = self.fingerprint(&next);
                if !self.enter(print, before) {
                    continue;
                }
                match self.world.broken(&next) {
                    Some(rule) if broken.is_none_or(|(p, _)| print < p) => broken = Some((print, rule)),
                    Some(_) => {}
                    None => found.push(next),
                }
            }
        }
        (found, broken)
    }

    /// The steps from a start to the state with this fingerprint.
    fn way(&self, starts: &[M::State], last: u64) -> Way<M> {
        let mut prints = vec![last];
        let mut print = last;
        while self.before(print) != 0 {
            print = self.before(print);
            prints.push(print);
        }
        prints.reverse();
        let Some(mut at) = starts.iter().find(|s| self.fingerprint(s) == prints[0]).cloned() else {
            return Vec::new();
        };
        let mut way = Vec::new();
        for print in &prints[1..] {
            let Some((step, state)) =
                self.world.next(&at).into_iter().find(|(_, s)| self.fingerprint(s) == *print)
            else {
                return way;
            };
            at = state.clone();
            way.push((step, state));
        }
        way
    }
}

pub fn explore<M: Model>(world: M, limits: Limits) -> Outcome<M> {
    let begun = Instant::now();
    let walk = Walk { world, seen: (0..SHARDS).map(|_| Mutex::default()).collect() };
    let starts = walk.world.starts();
    let mut level: Vec<M::State> =
        starts.iter().filter(|s| walk.enter(walk.fingerprint(s), 0)).cloned().collect();
    let (mut states, mut depth) = (level.len(), 0);
    let outcome =
        |states, depth, whole, broken| Outcome { states, depth, took: begun.elapsed(), whole, broken };
    while !level.is_empty() {
        if states > limits.states {
            return outcome(states, depth, false, None);
        }
        let share = level.len().div_ceil(limits.threads.max(1));
        let parts: Vec<_> = thread::scope(|scope| {
            let work: Vec<_> = level.chunks(share).map(|part| scope.spawn(|| walk.expand(part))).collect();
            work.into_iter().filter_map(|w| w.join().ok()).collect()
        });
        level.clear();
        let mut broken = None::<(u64, M::Rule)>;
        for (found, b) in parts {
            level.extend(found);
            broken = [broken, b].into_iter().flatten().min_by_key(|(print, _)| *print);
        }
        states = walk.seen.iter().map(|s| s.lock().unwrap_or_else(PoisonError::into_inner).len()).sum();
        if let Some((print, rule)) = broken {
            return outcome(states, depth + 1, true, Some((rule, walk.way(&starts, print))));
        }
        depth += usize::from(!level.is_empty());
    }
    outcome(states, depth, true, None)
}
