use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The images that a machine holds and those that it is fetching. An image is fetched once for
/// all tasks that need it; concurrent fetches share the machine's rate; the least recently used
/// images are evicted when the cache is full.
#[derive(Debug)]
pub struct ImageCache {
    gb_per_s: f64,
    capacity_gb: f64,
    /// Size in GB and time of the last use, by image.
    cached: BTreeMap<String, (f64, Instant)>,
    /// Size and amount still to be fetched, both in GB, by image.
    fetches: BTreeMap<String, (f64, f64)>,
}

impl ImageCache {
    pub fn new(gb_per_s: f64, capacity_gb: f64) -> Self {
        Self { gb_per_s: gb_per_s.max(1e-3), capacity_gb, cached: BTreeMap::new(), fetches: BTreeMap::new() }
    }

    pub fn has(&self, image: &str) -> bool {
        self.cached.contains_key(image)
    }

    /// Continues the fetches for `elapsed`. `wanted` holds the images that tasks wait for and
    /// their sizes; a fetch that is no longer wanted is abandoned. Images `in_use` are not
    /// evicted.
    pub fn poll(&mut self, wanted: &BTreeMap<&str, f64>, in_use: &[&str], elapsed: Duration, now: Instant) {
        self.fetches.retain(|image, _| wanted.contains_key(image.as_str()));
        let rate = self.gb_per_s / self.fetches.len().max(1) as f64;
        let mut completed = Vec::new();
        for (image, (size, missing)) in &mut self.fetches {
            *missing -= rate * elapsed.as_secs_f64();
            if *missing <= 0.0 {
                completed.push((image.clone(), *size));
            }
        }
        for (image, size) in completed {
            self.fetches.remove(&image);
            self.cached.insert(image, (size, now));
        }
        for (image, size) in wanted {
            if !self.has(image) {
                self.fetches.entry((*image).to_owned()).or_insert((*size, *size));
            }
        }
        for image in in_use.iter().chain(wanted.keys()) {
            if let Some((_, used)) = self.cached.get_mut(*image) {
                *used = now;
            }
        }
        while self.cached.values().map(|(size, _)| size).sum::<f64>() > self.capacity_gb {
            let unused = self
                .cached
                .iter()
                .filter(|(i, _)| !in_use.contains(&i.as_str()) && !wanted.contains_key(i.as_str()));
            let Some(oldest) = unused.min_by_key(|(_, (_, used))| *used).map(|(i, _)| i.clone()) else {
                break;
            };
            self.cached.remove(&oldest);
        }
    }
}
