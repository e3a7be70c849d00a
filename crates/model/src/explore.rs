//! A multi-threaded breadth-first search over all reachable states of a model.
//!
//! The breadth-first order finds the first violation in the fewest possible steps. Visited states
//! are kept as 64-bit fingerprints, each with the fingerprint of its predecessor; the trace to a
//! violation is rebuilt by running the model again along the predecessors. Two states with the same
//! fingerprint would be taken for one; with ten million states the probability is about one in 400,000.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, BuildHasherDefault, Hasher};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use foldhash::quality::FixedState;

/// A state machine to be checked: any of a state's successors may come next.
pub trait Model: Sync {
    type State: Clone + Send + Sync;
    type Step: Send;
    /// A property that must hold in every state.
    type Invariant: Copy + Send;

    fn initial_states(&self) -> Vec<Self::State>;
    /// The possible steps from a state, each with the state it leads to.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;
    /// The invariant that a state violates.
    fn violation(&self, state: &Self::State) -> Option<Self::Invariant>;
    /// Feeds everything that distinguishes two states to the hasher.
    fn hash(&self, state: &Self::State, hasher: &mut impl Hasher);
}

/// The steps from an initial state to another one, each with the state it leads to.
pub type Trace<M> = Vec<(<M as Model>::Step, <M as Model>::State)>;

/// The fingerprint of a state that violates an invariant, and the invariant.
type Violation<M> = (u64, <M as Model>::Invariant);

/// The number of threads, and the number of states after which the search stops.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub threads: usize,
    pub states: usize,
}

/// The result of a search.
pub struct Outcome<M: Model> {
    pub states: usize,
    /// The largest distance of a state from the initial states, in steps.
    pub depth: usize,
    pub duration: Duration,
    /// Whether the search ended within the limit: all states were visited, or a violation was found.
    pub within_limit: bool,
    pub violation: Option<(M::Invariant, Trace<M>)>,
}

/// Passes fingerprints through: they are hashes already.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
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

/// The fingerprint of each visited state's predecessor; 0 for an initial state.
type Predecessors = HashMap<u64, u64, BuildHasherDefault<IdentityHasher>>;

const SHARDS: usize = 64;

struct Search<M> {
    model: M,
    predecessors: Vec<Mutex<Predecessors>>,
}

impl<M: Model> Search<M> {
    /// Never 0, which stands for "no predecessor".
    fn fingerprint(&self, state: &M::State) -> u64 {
        let mut hasher = FixedState::default().build_hasher();
        self.model.hash(state, &mut hasher);
        hasher.finish().max(1)
    }

    /// Returns false if the state was visited before.
    fn insert_if_new(&self, fingerprint: u64, predecessor: u64) -> bool {
        let shard = &self.predecessors[(fingerprint >> 58) as usize % SHARDS];
        match shard.lock().unwrap_or_else(PoisonError::into_inner).entry(fingerprint) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(predecessor);
                true
            }
        }
    }

    fn predecessor(&self, fingerprint: u64) -> u64 {
        let shard = &self.predecessors[(fingerprint >> 58) as usize % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner).get(&fingerprint).copied().unwrap_or(0)
    }

    /// The new successors of some states, and the violation with the lowest fingerprint among them.
    fn expand(&self, states: &[M::State]) -> (Vec<M::State>, Option<Violation<M>>) {
        let (mut new_states, mut violation) = (Vec::new(), None::<(u64, M::Invariant)>);
        for state in states {
            let predecessor = self.fingerprint(state);
            for (_, next) in self.model.successors(state) {
                let fingerprint = self.fingerprint(&next);
                if !self.insert_if_new(fingerprint, predecessor) {
                    continue;
                }
                match self.model.violation(&next) {
                    Some(invariant) if violation.is_none_or(|(lowest, _)| fingerprint < lowest) => {
                        violation = Some((fingerprint, invariant))
                    }
                    Some(_) => {}
                    None => new_states.push(next),
                }
            }
        }
        (new_states, violation)
    }

    /// The trace from an initial state to the state with this fingerprint.
    fn trace_to(&self, initial_states: &[M::State], last: u64) -> Trace<M> {
        let mut fingerprints = vec![last];
        let mut fingerprint = last;
        while self.predecessor(fingerprint) != 0 {
            fingerprint = self.predecessor(fingerprint);
            fingerprints.push(fingerprint);
        }
        fingerprints.reverse();
        let Some(mut current) =
            initial_states.iter().find(|s| self.fingerprint(s) == fingerprints[0]).cloned()
        else {
            return Vec::new();
        };
        let mut trace = Vec::new();
        for fingerprint in &fingerprints[1..] {
            let Some((step, state)) = self
                .model
                .successors(&current)
                .into_iter()
                .find(|(_, s)| self.fingerprint(s) == *fingerprint)
            else {
                return trace;
            };
            current = state.clone();
            trace.push((step, state));
        }
        trace
    }
}

/// Searches the model until a violation is found, all states are visited or the limit is reached.
pub fn explore<M: Model>(model: M, limits: Limits) -> Outcome<M> {
    let started = Instant::now();
    let search = Search { model, predecessors: (0..SHARDS).map(|_| Mutex::default()).collect() };
    let initial_states = search.model.initial_states();
    let mut frontier: Vec<M::State> =
        initial_states.iter().filter(|s| search.insert_if_new(search.fingerprint(s), 0)).cloned().collect();
    let (mut states, mut depth) = (frontier.len(), 0);
    let outcome = |states, depth, within_limit, violation| Outcome {
        states,
        depth,
        duration: started.elapsed(),
        within_limit,
        violation,
    };
    while !frontier.is_empty() {
        if states > limits.states {
            return outcome(states, depth, false, None);
        }
        let chunk_size = frontier.len().div_ceil(limits.threads.max(1));
        let results: Vec<_> = thread::scope(|scope| {
            let handles: Vec<_> =
                frontier.chunks(chunk_size).map(|chunk| scope.spawn(|| search.expand(chunk))).collect();
            handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
        });
        frontier.clear();
        let mut violation = None::<(u64, M::Invariant)>;
        for (new_states, chunk_violation) in results {
            frontier.extend(new_states);
            violation = [violation, chunk_violation]
                .into_iter()
                .flatten()
                .min_by_key(|(fingerprint, _)| *fingerprint);
        }
        states =
            search.predecessors.iter().map(|s| s.lock().unwrap_or_else(PoisonError::into_inner).len()).sum();
        if let Some((fingerprint, invariant)) = violation {
            return outcome(
                states,
                depth + 1,
                true,
                Some((invariant, search.trace_to(&initial_states, fingerprint))),
            );
        }
        depth += usize::from(!frontier.is_empty());
    }
    outcome(states, depth, true, None)
}
