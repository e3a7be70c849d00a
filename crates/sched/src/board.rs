//! The machines as one round of decisions sees them.

use std::collections::{BTreeMap, BTreeSet, HashMap, btree_set};

use wire::JobSpec;

use crate::records::{JobRecord, Member, Name};
use crate::world::{Amount, World};

/// A machine as placement sees it within one round.
#[derive(Debug, Clone)]
pub struct Slot {
    pub id: Name,
    /// The owner's incarnation.
    pub owner: u64,
    pub machine_type: Name,
    pub zone: Name,
    pub spot: bool,
    pub whole: Amount,
    pub used: Amount,
    /// What the machine costs, and how fast it fetches.
    pub(crate) price: f64,
    pub(crate) gb_per_s: f64,
    /// All machines of the same owner, type, zone and purchase have one number.
    kind: usize,
}

impl Slot {
    pub(crate) fn alike(&self) -> Alike {
        Alike {
            kind: self.kind,
            used: [self.used.cpus, self.used.gpus, self.used.memory_gb].map(f64::to_bits),
        }
    }

    pub fn free(&self) -> Amount {
        self.whole.plus(self.used, -1.0)
    }
}

/// What machines have in common that are alike for placement, but for their names and
/// the images that they have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Alike {
    kind: usize,
    used: [u64; 3],
}

/// The state of a round of decisions: machines and team use, with what the
/// round has already given away.
#[derive(Debug, Default)]
pub struct Board {
    /// In the order of their names. What is used is changed by [`Board::take`] only.
    pub slots: Vec<Slot>,
    pub team_use: HashMap<String, Amount>,
    /// The machines that are alike. Choosing looks at one of each: at every machine for
    /// every job, a round cost millions of instructions on a site of a thousand.
    pub(crate) alike: BTreeMap<Alike, BTreeSet<usize>>,
}

impl Board {
    /// All machines that `usable` admits, apart from those being given back.
    pub fn new(world: &World, usable: impl Fn(&str) -> bool) -> Self {
        Self::of_owned(world, |id, _| usable(id))
    }

    /// The same, by the machines' names and owners; `usable` is asked in the order of
    /// the names.
    pub fn of_owned(world: &World, mut usable: impl FnMut(&Name, &Member) -> bool) -> Self {
        let mut slots: Vec<Slot> = Vec::with_capacity(world.machines.len());
        let mut alike: BTreeMap<Alike, BTreeSet<usize>> = BTreeMap::new();
        // The first machine of each kind.
        let mut kinds: Vec<usize> = Vec::new();
        let mut used = world.machine_use.iter().peekable();
        for (id, m, owner) in world.owned_machines() {
            let m = &m.value;
            if m.release || !usable(id, owner) {
                continue;
            }
            while used.next_if(|(other, _)| *other < id).is_some() {}
            let used = used.next_if(|(other, _)| *other == id).map(|(_, u)| *u).unwrap_or_default();
            let like = |s: &Slot| {
                (s.owner, s.spot) == (owner.incarnation, m.spot)
                    && s.machine_type == m.machine_type
                    && s.zone == m.zone
            };
            let slot = match kinds.iter().map(|&i| &slots[i]).find(|s| like(s)) {
                Some(s) => Slot { id: id.clone(), used, ..s.clone() },
                None => {
                    let Some(t) = world.types.get(&*m.machine_type) else { continue };
                    kinds.push(slots.len());
                    Slot {
                        id: id.clone(),
                        owner: owner.incarnation,
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                        whole: Amount::of_type(t),
                        used,
                        price: if m.spot { t.spot_price } else { t.price },
                        gb_per_s: t.fetch_gb_per_s,
                        kind: kinds.len(),
                    }
                }
            };
            alike.entry(slot.alike()).or_default().insert(slots.len());
            slots.push(slot);
        }
        Self { slots, team_use: world.team_use.clone(), alike }
    }

    /// A machine's place among the slots.
    pub fn find(&self, machine: &str) -> Option<usize> {
        self.slots.binary_search_by(|s| (*s.id).cmp(machine)).ok()
    }

    /// Takes room on a machine, or gives it back.
    pub(crate) fn take(&mut self, i: usize, size: Amount, sign: f64) {
        let before = self.slots[i].alike();
        self.slots[i].used = self.slots[i].used.plus(size, sign);
        let after = self.slots[i].alike();
        if before == after {
            return;
        }
        if let Some(set) = self.alike.get_mut(&before) {
            set.remove(&i);
            if set.is_empty() {
                self.alike.remove(&before);
            }
        }
        self.alike.entry(after).or_default().insert(i);
    }

    /// Takes room on machines, or gives it back.
    pub fn reserve(&mut self, machines: &[Name], size: Amount, sign: f64) {
        for m in machines {
            if let Some(i) = self.find(m) {
                self.take(i, size, sign);
            }
        }
    }

    /// The machines that a job may go to by `may`, which must not tell machines apart
    /// that are alike, and are not in `left`. Those with the job's image and those that
    /// it avoids differ from others that are alike.
    pub(crate) fn candidates(
        &self,
        world: &World,
        job: &JobRecord,
        spec: &JobSpec,
        may: impl Fn(&Slot) -> bool,
    ) -> Candidates<'_> {
        let holders = world.holders(&spec.image).map(|m| &**m);
        let avoided = job.avoid.iter().map(|(m, _)| m.as_str());
        let left = job.left.iter().map(|m| &**m);
        let mut apart: Vec<usize> = holders.chain(avoided).chain(left).filter_map(|m| self.find(m)).collect();
        apart.sort_unstable();
        apart.dedup();
        let may_any = |set: &&BTreeSet<usize>| set.first().is_some_and(|i| may(&self.slots[*i]));
        let may_one = |i: &usize| may(&self.slots[*i]) && !job.left.contains(&self.slots[*i].id);
        Candidates {
            alike: self.alike.values().filter(may_any).map(BTreeSet::iter).collect(),
            each: apart.iter().copied().filter(may_one).collect(),
            apart,
        }
    }
}

/// The machines that a job may go to.
pub(crate) struct Candidates<'a> {
    /// Those that differ in nothing but their names, in the order of these, but for
    /// those in `apart`, which are sorted.
    pub(crate) alike: Vec<btree_set::Iter<'a, usize>>,
    apart: Vec<usize>,
    pub(crate) each: Vec<usize>,
}

impl Candidates<'_> {
    pub(crate) fn list(each: &[usize]) -> Self {
        Self { alike: Vec::new(), apart: Vec::new(), each: each.to_vec() }
    }

    /// The next of those that are alike.
    pub(crate) fn next(&mut self, run: usize) -> Option<usize> {
        let Self { alike, apart, .. } = self;
        alike.get_mut(run)?.copied().find(|i| apart.binary_search(i).is_err())
    }
}
