//! What to rent for the tasks that have no place.

use std::collections::BTreeMap;

use wire::{JobKind, JobSpec, MachineType};

use crate::hash::HashMap;
use crate::placement::{is_allowed, zone_limit};
use crate::records::Name;
use crate::replica::Resources;

/// Tasks of one job that wait for room.
#[derive(Debug, Clone)]
pub struct Demand<'a> {
    pub spec: &'a JobSpec,
    pub tasks: u32,
    /// The job's tasks already on machines, by zone.
    pub in_zone: HashMap<Name, u32>,
    /// Machine types that do not suit the job, though it allows them.
    pub unsuitable_types: Vec<Name>,
}

/// Room that will be there: machines that boot.
#[derive(Debug, Clone)]
pub struct ExpectedCapacity {
    pub machine_type: Name,
    pub zone: Name,
    pub spot: bool,
    pub free: Resources,
    /// How many GPUs the machine has, in use or not.
    pub gpus: f64,
    /// It is there already.
    pub is_up: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineOffer {
    pub machine_type: Name,
    pub zone: Name,
    pub spot: bool,
}

/// Decides what to rent: each demand first uses up machines that boot, then the
/// offer that costs least for what the job can use of it. At most `most` of a kind.
pub fn plan_scale_out(
    demands: &[Demand],
    coming: &[ExpectedCapacity],
    types: &HashMap<String, MachineType>,
    gpu_spec: Option<&JobSpec>,
    blocked: impl Fn(&MachineOffer) -> bool,
    most: usize,
) -> Vec<MachineOffer> {
    // Room that GPU jobs could use is for them, and for services in need.
    let kept = |spec: &JobSpec, gpus: f64, kind: &str, zone: &str, spot: bool| {
        spec.gpus == 0.0
            && gpus > 0.0
            && spec.kind != JobKind::Service
            && gpu_spec.is_none_or(|g| is_allowed(g, kind, zone, spot))
    };
    let offers: Vec<(MachineOffer, &MachineType)> = offers(types).collect();
    let mut pool: Vec<ExpectedCapacity> = coming.to_vec();
    let mut out: Vec<MachineOffer> = Vec::new();
    // How many of a kind there are is not known. One request's worth of each is
    // planned at a time, so that a large array does not plan for ever with what
    // is cheapest and leave nothing to those behind it.
    let mut planned: HashMap<MachineOffer, usize> = HashMap::default();
    for d in demands {
        let size = Resources::of_task(d.spec);
        let limit = zone_limit(d.spec);
        let mut in_zone = d.in_zone.clone();
        let mut left = d.tasks;
        // Room only shrinks while one job's tasks are planned: what was passed over
        // once need not be looked at again. New machines are added at the end.
        let (mut from_ready, mut from_any) = (0, 0);
        // One zone for all of a gang: the first choice fixes it.
        let mut fixed: Option<Name> = None;
        if d.spec.one_zone {
            fixed = in_zone.keys().next().cloned().or_else(|| best_zone(d, &pool, &offers, &blocked));
        }
        while left > 0 {
            let room = |z: &str, fixed: &Option<Name>, in_zone: &HashMap<Name, u32>| {
                fixed.as_ref().is_none_or(|f| **f == *z) && in_zone.get(z).copied().unwrap_or(0) < limit
            };
            let fits = |c: &ExpectedCapacity| {
                size.fits(c.free)
                    && !d.unsuitable_types.contains(&c.machine_type)
                    && is_allowed(d.spec, &c.machine_type, &c.zone, c.spot)
                    && !kept(d.spec, c.free.gpus, &c.machine_type, &c.zone, c.spot)
                    && room(&c.zone, &fixed, &in_zone)
            };
            // What needs no GPU and sits on a machine that has some is there at
            // last: where another machine can be rented, that costs far less.
            let plain = |c: &ExpectedCapacity| d.spec.gpus > 0.0 || c.gpus == 0.0;
            let next = |from: &mut usize, suits: &dyn Fn(&ExpectedCapacity) -> bool| {
                while *from < pool.len() && !suits(&pool[*from]) {
                    *from += 1;
                }
                (*from < pool.len()).then_some(*from)
            };
            let ready = next(&mut from_ready, &|c| plain(c) && fits(c));
            let mut misplaced = || next(&mut from_any, &fits);
            let may_rent = |t: &MachineType| d.spec.gpus > 0.0 || t.gpus == 0.0;
            let rentable = |o: &MachineOffer, t: &MachineType| {
                is_allowed(d.spec, &o.machine_type, &o.zone, o.spot)
                    && size.fits(Resources::of_type(t))
                    && !d.unsuitable_types.contains(&o.machine_type)
                    && !kept(d.spec, t.gpus, &o.machine_type, &o.zone, o.spot)
                    && room(&o.zone, &fixed, &in_zone)
                    && planned.get(o).is_none_or(|n| *n < most)
                    && !blocked(o)
            };
            let i = match ready.or_else(|| {
                let rents = offers.iter().any(|(o, t)| may_rent(t) && rentable(o, t));
                if rents { None } else { misplaced() }
            }) {
                Some(i) => i,
                None => {
                    let best = offers.iter().filter(|(o, t)| rentable(o, t)).min_by(|(a, ta), (b, tb)| {
                        let cost = |o: &MachineOffer, t: &MachineType| {
                            let price = if o.spot { t.spot_price } else { t.price };
                            let fit = size.count_fitting_in(Resources::of_type(t)).min(left).max(1);
                            price / f64::from(fit)
                        };
                        let gpu = |t: &MachineType| d.spec.gpus == 0.0 && t.gpus > 0.0;
                        let zone = |o: &MachineOffer| {
                            if d.spec.spread { in_zone.get(&o.zone).copied().unwrap_or(0) } else { 0 }
                        };
                        zone(a)
                            .cmp(&zone(b))
                            .then(gpu(ta).cmp(&gpu(tb)))
                            .then(cost(a, ta).total_cmp(&cost(b, tb)))
                    });
                    let Some((offer, t)) = best else { break };
                    pool.push(ExpectedCapacity {
                        machine_type: offer.machine_type.clone(),
                        zone: offer.zone.clone(),
                        spot: offer.spot,
                        free: Resources::of_type(t),
                        gpus: t.gpus,
                        is_up: false,
                    });
                    *planned.entry(offer.clone()).or_default() += 1;
                    out.push(offer.clone());
                    pool.len() - 1
                }
            };
            let slot = &mut pool[i];
            let n = size
                .count_fitting_in(slot.free)
                .min(left)
                .min(limit - in_zone.get(&slot.zone).copied().unwrap_or(0))
                .max(1);
            slot.free = slot.free.plus_scaled(size, -f64::from(n));
            if !slot.is_up && d.spec.kind == JobKind::Service && d.spec.gpus == 0.0 {
                // Services do not wait for a boot: they take the places of GPU
                // jobs that are free now, which are gone for those.
                squeeze(&mut pool, d.spec, size, n.min(left));
            }
            let zone = pool[i].zone.clone();
            *in_zone.entry(zone.clone()).or_default() += n;
            if d.spec.one_zone {
                fixed = Some(zone);
            }
            left -= n.min(left);
        }
    }
    out
}

/// Takes room for so many tasks off machines with GPUs that are up.
fn squeeze(pool: &mut [ExpectedCapacity], spec: &JobSpec, size: Resources, tasks: u32) {
    let mut left = tasks;
    for c in pool.iter_mut().filter(|c| c.is_up && c.gpus > 0.0) {
        if left == 0 {
            return;
        }
        if size.fits(c.free) && is_allowed(spec, &c.machine_type, &c.zone, c.spot) {
            let n = size.count_fitting_in(c.free).min(left);
            c.free = c.free.plus_scaled(size, -f64::from(n));
            left -= n;
        }
    }
}

/// The zone for a job that wants all its tasks in one: where there is room for
/// all of them, or else where more may be rented, or else where most room is.
fn best_zone(
    d: &Demand,
    pool: &[ExpectedCapacity],
    offers: &[(MachineOffer, &MachineType)],
    blocked: &impl Fn(&MachineOffer) -> bool,
) -> Option<Name> {
    let size = Resources::of_task(d.spec);
    let mut zones: BTreeMap<Name, (bool, bool, u32)> = BTreeMap::new();
    for (o, t) in offers {
        let suits = !d.unsuitable_types.contains(&o.machine_type);
        if suits && is_allowed(d.spec, &o.machine_type, &o.zone, o.spot) && size.fits(Resources::of_type(t)) {
            zones.entry(o.zone.clone()).or_default().1 |= !blocked(o);
        }
    }
    let suits = |c: &&ExpectedCapacity| {
        is_allowed(d.spec, &c.machine_type, &c.zone, c.spot) && !d.unsuitable_types.contains(&c.machine_type)
    };
    for c in pool.iter().filter(suits) {
        if let Some(z) = zones.get_mut(&c.zone) {
            z.2 = z.2.saturating_add(size.count_fitting_in(c.free));
            z.0 = z.2 >= d.tasks;
        }
    }
    // Jobs that find room nowhere are spread over the zones that still have
    // machines to rent: each has its own limit.
    let turn = d.spec.id.bytes().fold(0usize, |h, b| h.wrapping_mul(31).wrapping_add(usize::from(b)));
    let open: Vec<&Name> = zones.iter().filter(|(_, z)| z.1).map(|(n, _)| n).collect();
    let most = zones.iter().max_by_key(|(_, z)| (z.0, z.2)).map(|(n, z)| (n, z.0));
    match most {
        Some((_, false)) if !open.is_empty() => Some(open[turn % open.len()].clone()),
        _ => most.map(|(n, _)| n.clone()),
    }
}

fn offers(types: &HashMap<String, MachineType>) -> impl Iterator<Item = (MachineOffer, &MachineType)> {
    types.values().flat_map(|t| {
        t.zones.iter().flat_map(move |z| {
            [false, true].map(|spot| {
                (MachineOffer { machine_type: t.name.as_str().into(), zone: z.as_str().into(), spot }, t)
            })
        })
    })
}

/// Whether any machine type could ever hold a task of the job.
pub fn fits_some_machine_type(spec: &JobSpec, types: &HashMap<String, MachineType>) -> bool {
    types.values().any(|t| {
        Resources::of_task(spec).fits(Resources::of_type(t))
            && spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
    })
}

/// Whether the job stays within a team's limit at all.
pub fn within_quota(spec: &JobSpec, team: &crate::replica::Team) -> bool {
    let count = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
    Resources { memory_gb: 0.0, ..Resources::default() }
        .plus_scaled(Resources { memory_gb: 0.0, ..Resources::of_task(spec) }, f64::from(count))
        .fits(team.limit())
}

#[cfg(test)]
#[path = "../tests/unit/autoscaling.rs"]
mod tests;
