//! What a controller knows and decides. The names follow `daemon`'s node and worker.

use crate::mechanism::{Mechanism, Without};
use crate::size::Size;
use crate::state::*;

/// What an owner wants of its worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Orders {
    pub launch: Option<u8>,
    pub stop: Option<u8>,
    /// The worker has to show a newer token before anything is proven.
    pub poke: bool,
}

impl Owned {
    pub fn new(epoch: u8) -> Self {
        let first = Token::first(epoch);
        Self {
            epoch,
            owned_epoch: epoch,
            session: 0,
            seq: 0,
            seen: Token::default(),
            token: first,
            proof: first,
            in_flight: None,
            offered: false,
            renewed: LONG,
            heard: LONG,
            trusted: false,
            tasks: [Task::Absent; ATTEMPTS],
            present: [false; ATTEMPTS],
            ended: [0; ATTEMPTS],
        }
    }

    fn enter_epoch(&mut self, epoch: u8) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.token = Token::first(epoch);
            self.proof = self.token;
            self.offered = false;
            self.in_flight = None;
            self.renewed = LONG;
        }
    }

    /// Takes in a report; false if it is older than what is known.
    pub fn ingest(&mut self, report: &Report, by_itself: bool, without: Without) -> bool {
        self.seen = self.seen.max(report.token);
        if (report.session, report.seq) <= (self.session, self.seq) {
            return false;
        }
        if by_itself {
            self.offered = false;
        }
        let shown = report.token >= Token::first(self.owned_epoch);
        self.trusted |= !by_itself || shown || !without.has(Mechanism::TrustedReport);
        self.heard = 0;
        self.session = report.session;
        self.seq = report.seq;
        self.tasks = report.tasks;
        for (present, task) in self.present.iter_mut().zip(report.tasks) {
            *present |= task != Task::Absent;
        }
        true
    }

    fn lease_over(&self, size: &Size, without: Without) -> bool {
        let slack = if without.has(Mechanism::LeaseSlack) { size.drift } else { 0 };
        let limit = size.lease + slack;
        let shown = self.seen >= Token::first(self.epoch) || !without.has(Mechanism::LeaseToken);
        shown && self.heard >= limit && self.renewed != LONG && self.renewed >= limit
    }

    fn absence_proves(&self, without: Without) -> bool {
        let later = self.in_flight.is_none() && !self.offered && self.seen >= self.proof;
        self.session > 0 && (later || !without.has(Mechanism::LaterToken))
    }

    /// Whether an assignment to this worker is proven to be over.
    pub fn proves(&self, job: &Job, attempt: u8, size: &Size, without: Without) -> bool {
        let a = attempt as usize;
        if self.session == 0 {
            return false;
        }
        if self.ended[a] == self.epoch || self.lease_over(size, without) {
            return true;
        }
        match self.tasks[a] {
            Task::Running => false,
            Task::Exited => self.trusted,
            Task::Absent => !self.launches(job, a, without) && self.absence_proves(without),
        }
    }

    fn launches(&self, job: &Job, a: usize, without: Without) -> bool {
        let ended = self.ended[a] > 0 && without.has(Mechanism::EndedStays);
        job.wants() && !self.present[a] && !ended
    }

    /// What the records want of the worker.
    pub fn orders(&self, job: &Job, worker: usize, size: &Size, without: Without) -> Orders {
        let mut orders = Orders::default();
        let Some((_, attempt)) = job.place.filter(|(w, _)| *w as usize == worker) else { return orders };
        if self.session == 0 || self.lease_over(size, without) {
            return orders;
        }
        let a = attempt as usize;
        match self.tasks[a] {
            Task::Running if !job.wants() => orders.stop = Some(attempt),
            Task::Running => {}
            Task::Exited => orders.poke = size.ends() && !self.trusted,
            Task::Absent if self.launches(job, a, without) => orders.launch = Some(attempt),
            Task::Absent => orders.poke = size.ends() && !self.absence_proves(without),
        }
        orders
    }

    /// The request with this token was answered or given up.
    pub fn finish(&mut self, token: Token, answered: bool) {
        if self.in_flight.is_none_or(|(t, _)| t != token) {
            return;
        }
        self.in_flight = None;
        if !answered {
            self.token = self.token.next();
            self.proof = self.token;
        }
    }
}

impl Controller {
    /// A process that has just started.
    pub fn restarted(&self) -> Self {
        Self {
            incarnation: self.incarnation + 1,
            read: false,
            ready: false,
            mirror: Records::default(),
            fresh: LONG,
            peers: [Peer { confirmed: LONG, asked: LONG, heard: 0, heard_before: 0, answer: None };
                CONTROLLERS],
            owned: [None; WORKERS],
            reading: None,
        }
    }

    /// Whether the newest known map names this very process.
    pub fn in_map(&self, me: usize) -> bool {
        self.ready && self.mirror.live[me] == self.incarnation
    }

    pub fn owns(&self, me: usize, worker: usize) -> bool {
        self.in_map(me) && self.mirror.owner[worker] as usize == me
    }

    /// Whether reports may be answered, which renews leases.
    pub fn may_renew(&self, me: usize, size: &Size, without: Without) -> bool {
        if !self.in_map(me) {
            return false;
        }
        let Some(bound) = size.bound.filter(|_| without.has(Mechanism::RenewalBound)) else { return true };
        let mut words = self
            .peers
            .iter()
            .enumerate()
            .take(size.controllers)
            .filter(|(p, _)| *p != me)
            .map(|(_, p)| p.confirmed);
        let oldest = if without.has(Mechanism::AllPeers) { words.max() } else { words.next() };
        let within = if without.has(Mechanism::NotBySilence) { bound } else { SUMMARY_FRESH };
        self.fresh < bound || oldest.is_some_and(|age| age < within)
    }

    /// Takes the machines over that the mirror's map gives to this controller, and lets
    /// go of the others.
    fn follow_map(&mut self, me: usize, size: &Size, without: Without) {
        let epoch = self.mirror.epoch;
        for w in 0..size.workers {
            if !self.owns(me, w) {
                self.owned[w] = None;
                continue;
            }
            let skipped = |o: &Owned| without.has(Mechanism::NewOwnerForgets) && o.epoch + 1 < epoch;
            match &mut self.owned[w] {
                Some(o) if !skipped(o) => o.enter_epoch(epoch),
                owned => *owned = Some(Owned::new(epoch)),
            }
        }
    }

    /// Reads what the state service has now.
    pub fn read(&mut self, me: usize, records: &Records, size: &Size, without: Without) {
        self.mirror = *records;
        self.fresh = 0;
        (self.read, self.ready) = (true, true);
        for p in &mut self.peers {
            p.heard_before = p.heard;
        }
        self.follow_map(me, size, without);
    }

    pub fn begin_reading(&mut self, records: &Records, anew: bool) {
        self.ready &= !anew;
        self.reading = Some(Reading { age: 0, records: *records, anew, heard: self.peers.map(|p| p.heard) });
    }

    pub fn finish_reading(&mut self, me: usize, size: &Size, without: Without) {
        let Some(Reading { age, records, anew, heard }) = self.reading.take() else { return };
        let known = self.mirror.job;
        let keeps = without.has(if anew { Mechanism::RereadKeeps } else { Mechanism::NewerWins });
        if anew || records.revision > self.mirror.revision {
            self.mirror = records;
            if keeps {
                self.apply(known);
            }
        }
        if anew {
            (self.read, self.ready) = (true, true);
        } else {
            self.fresh = self.fresh.min(age);
            for (p, heard) in self.peers.iter_mut().zip(heard) {
                p.heard_before = p.heard_before.max(heard);
            }
        }
        self.follow_map(me, size, without);
    }

    /// Takes in a record that is not part of a reading: an own commit, or a peer's word.
    pub fn apply(&mut self, job: Job) {
        if job.revision > self.mirror.job.revision {
            self.mirror.job = job;
        }
    }

    /// The answer to a peer that asks what was cancelled after its revision.
    pub fn read_index(&self, after: u8, complete: bool, without: Without) -> Word {
        let job = self.mirror.job;
        let read = if without.has(Mechanism::EverRead) { self.read } else { self.ready };
        Word {
            age: 0,
            incarnation: self.incarnation,
            read,
            epoch: self.mirror.epoch,
            cancelled: (complete && read && job.cancelled && job.revision > after).then_some(job),
            complete,
            silent: self.fresh >= SILENT && !without.has(Mechanism::NotBySilence),
        }
    }

    /// Takes in the answer of a peer.
    pub fn take_word(&mut self, from: usize, without: Without) {
        let peer = &mut self.peers[from];
        let Some(word) = peer.answer.take() else { return };
        let known = if without.has(Mechanism::Incarnation) { peer.heard_before } else { peer.heard };
        peer.heard = peer.heard.max(word.incarnation);
        let has_read = word.read || known == word.incarnation || !without.has(Mechanism::Unread);
        let complete = word.complete || !without.has(Mechanism::Complete);
        let current = word.epoch <= self.mirror.epoch || !without.has(Mechanism::PeerEpoch);
        let age = match () {
            () if !without.has(Mechanism::Nonce) => peer.asked,
            () if !without.has(Mechanism::AskTime) => 0,
            () => word.age,
        };
        if !without.has(Mechanism::NotBySilence) {
            peer.confirmed = if word.silent { word.age } else { LONG };
            return;
        }
        if has_read && complete && current {
            peer.confirmed = peer.confirmed.min(age);
        }
        if self.read
            && without.has(Mechanism::ReadIndex)
            && let Some(job) = word.cancelled
        {
            self.apply(job);
        }
    }

    /// What becomes of a worker's report: the answer, if there is one.
    pub fn take_report(
        &mut self,
        me: usize,
        worker: usize,
        report: &Report,
        size: &Size,
        without: Without,
    ) -> Option<Answer> {
        if !self.may_renew(me, size, without) {
            return None;
        }
        let job = self.mirror.job;
        let answer = |token, launch, stop| Answer { age: 0, session: report.session, token, launch, stop };
        if !self.owns(me, worker) {
            // Any controller of a new map renews a worker's lease once.
            let token = Token::first(self.mirror.epoch);
            let here = |a: &u8| report.tasks[*a as usize] == Task::Running;
            let stops = job.cancelled && without.has(Mechanism::FirstAnswerStops);
            let stop = (0..ATTEMPTS as u8).find(here).filter(|_| stops);
            return (report.token < token).then(|| answer(token, None, stop));
        }
        let owned = self.owned[worker].as_mut()?;
        if report.token > owned.token {
            return None;
        }
        let news = owned.ingest(report, true, without);
        owned.renewed = 0;
        let mut orders = owned.orders(&job, worker, size, without);
        if !news || owned.in_flight.is_some() {
            orders.launch = None;
            if !without.has(Mechanism::StopWithAnswer) {
                orders.stop = None;
            }
        }
        let here = job.place.filter(|(w, _)| *w as usize == worker && job.cancelled);
        let clear = owned.in_flight.is_none() || without.has(Mechanism::StopWithAnswer);
        if clear
            && without.has(Mechanism::StopUnseen)
            && let Some((_, attempt)) = here
        {
            orders.stop = Some(attempt);
        }
        owned.offered |= orders.launch.is_some();
        Some(answer(owned.token, orders.launch, orders.stop))
    }
}

/// The rule before: how old a peer's word may be, and since when it must have had no
/// state service, in ticks.
const SUMMARY_FRESH: u8 = 2;
const SILENT: u8 = 1;
