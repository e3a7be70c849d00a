//! An estimate of which images are in the caches of the machines.

use std::collections::{BTreeSet, VecDeque};

use crate::hash::HashMap;
use crate::records::Name;

/// An image in the cache of a machine.
#[derive(Debug)]
struct CachedImage {
    image: String,
    size_gb: f64,
}

/// The images in the caches of the machines, estimated from the assignments.
#[derive(Debug, Default)]
pub(super) struct ImageCaches {
    /// The images of each machine, ordered from least to most recently used.
    images_by_machine: HashMap<Name, VecDeque<CachedImage>>,
    machines_by_image: HashMap<String, BTreeSet<Name>>,
}

impl ImageCaches {
    /// Records that a machine with a cache of `cache_gb` uses an image. The least recently used
    /// images are evicted until the others fit; the most recent image is always kept.
    pub(super) fn record_use(&mut self, machine: &Name, image: &str, size_gb: f64, cache_gb: f64) {
        let images = self.images_by_machine.entry(machine.clone()).or_default();
        images.retain(|cached| cached.image != image);
        images.push_back(CachedImage { image: image.to_owned(), size_gb });
        let mut evicted = Vec::new();
        while images.len() > 1 && images.iter().map(|cached| cached.size_gb).sum::<f64>() > cache_gb {
            evicted.extend(images.pop_front());
        }
        if !self.machines_by_image.get(image).is_some_and(|machines| machines.contains(machine)) {
            self.machines_by_image.entry(image.to_owned()).or_default().insert(machine.clone());
        }
        evicted.iter().for_each(|cached| self.remove_from_index(&cached.image, machine));
    }

    /// Removes a machine and its images.
    pub(super) fn remove_machine(&mut self, machine: &str) {
        for cached in self.images_by_machine.remove(machine).into_iter().flatten() {
            self.remove_from_index(&cached.image, machine);
        }
    }

    fn remove_from_index(&mut self, image: &str, machine: &str) {
        if let Some(machines) = self.machines_by_image.get_mut(image) {
            machines.remove(machine);
            if machines.is_empty() {
                self.machines_by_image.remove(image);
            }
        }
    }

    /// The machines that have an image, sorted by name.
    pub(super) fn machines_with(&self, image: &str) -> impl Iterator<Item = &Name> {
        self.machines_by_image.get(image).into_iter().flatten()
    }

    /// Whether a machine has an image.
    pub(super) fn has(&self, machine: &str, image: &str) -> bool {
        self.images_by_machine
            .get(machine)
            .is_some_and(|images| images.iter().any(|cached| cached.image == image))
    }
}
