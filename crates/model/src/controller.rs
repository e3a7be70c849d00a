//! A controller's side of the protocol, as the daemon implements it.

use crate::mechanism::{Mechanism, Mechanisms};
use crate::size::Size;
use crate::state::*;

/// What the owning controller wants a worker to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Orders {
    pub launch: Option<u8>,
    pub stop: Option<u8>,
    /// The worker must show a newer token before the end of an attempt can be proven.
    pub needs_newer_token: bool,
}

impl OwnedWorker {
    pub fn new(epoch: u8) -> Self {
        let first = Token::first(epoch);
        Self {
            epoch,
            owned_epoch: epoch,
            session: 0,
            sequence_number: 0,
            shown_token: Token::default(),
            token: first,
            proof_token: first,
            in_flight: None,
            launch_offered: false,
            renewal_age: LONG_AGO,
            report_age: LONG_AGO,
            trusted: false,
            tasks: [Task::Absent; MAX_ATTEMPTS],
            ever_reported: [false; MAX_ATTEMPTS],
            ended: [0; MAX_ATTEMPTS],
        }
    }

    /// Starts new tokens for a new map.
    fn enter_epoch(&mut self, epoch: u8) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.token = Token::first(epoch);
            self.proof_token = self.token;
            self.launch_offered = false;
            self.in_flight = None;
            self.renewal_age = LONG_AGO;
        }
    }

    /// Applies a report. Returns false if a newer report has been applied already.
    pub fn ingest_report(&mut self, report: &Report, unsolicited: bool, mechanisms: Mechanisms) -> bool {
        self.shown_token = self.shown_token.max(report.token);
        if (report.session, report.sequence_number) <= (self.session, self.sequence_number) {
            return false;
        }
        if unsolicited {
            self.launch_offered = false;
        }
        let shown_since_owned = report.token >= Token::first(self.owned_epoch);
        self.trusted |= !unsolicited || shown_since_owned || !mechanisms.has(Mechanism::TrustedReport);
        self.report_age = 0;
        self.session = report.session;
        self.sequence_number = report.sequence_number;
        self.tasks = report.tasks;
        for (ever_reported, task) in self.ever_reported.iter_mut().zip(report.tasks) {
            *ever_reported |= task != Task::Absent;
        }
        true
    }

    fn lease_expired(&self, size: &Size, mechanisms: Mechanisms) -> bool {
        let slack = if mechanisms.has(Mechanism::LeaseSlack) { size.clock_drift } else { 0 };
        let limit = size.lease + slack;
        let shown_in_epoch =
            self.shown_token >= Token::first(self.epoch) || !mechanisms.has(Mechanism::LeaseToken);
        shown_in_epoch
            && self.report_age >= limit
            && self.renewal_age != LONG_AGO
            && self.renewal_age >= limit
    }

    fn absence_proves_end(&self, mechanisms: Mechanisms) -> bool {
        let above_all_launches =
            self.in_flight.is_none() && !self.launch_offered && self.shown_token >= self.proof_token;
        self.session > 0 && (above_all_launches || !mechanisms.has(Mechanism::AbsenceNeedsLaterToken))
    }

    /// Whether an assignment to this worker is proven to be over.
    pub fn proves_end(&self, job: &Job, attempt: u8, size: &Size, mechanisms: Mechanisms) -> bool {
        let index = attempt as usize;
        if self.session == 0 {
            return false;
        }
        if self.ended[index] == self.epoch || self.lease_expired(size, mechanisms) {
            return true;
        }
        match self.tasks[index] {
            Task::Running => false,
            Task::Exited => self.trusted,
            Task::Absent => {
                !self.should_launch(job, index, mechanisms) && self.absence_proves_end(mechanisms)
            }
        }
    }

    fn should_launch(&self, job: &Job, attempt: usize, mechanisms: Mechanisms) -> bool {
        let ended = self.ended[attempt] > 0 && mechanisms.has(Mechanism::NoLaunchAfterEnd);
        job.should_run() && !self.ever_reported[attempt] && !ended
    }

    /// The orders that follow from the job's record and the state of the worker.
    pub fn orders(&self, job: &Job, worker_id: usize, size: &Size, mechanisms: Mechanisms) -> Orders {
        let mut orders = Orders::default();
        let Some((_, attempt)) = job.placement.filter(|(placed_on, _)| *placed_on as usize == worker_id)
        else {
            return orders;
        };
        if self.session == 0 || self.lease_expired(size, mechanisms) {
            return orders;
        }
        let index = attempt as usize;
        match self.tasks[index] {
            Task::Running if !job.should_run() => orders.stop = Some(attempt),
            Task::Running => {}
            Task::Exited => orders.needs_newer_token = size.records_ends() && !self.trusted,
            Task::Absent if self.should_launch(job, index, mechanisms) => orders.launch = Some(attempt),
            Task::Absent => {
                orders.needs_newer_token = size.records_ends() && !self.absence_proves_end(mechanisms)
            }
        }
        orders
    }

    /// Ends the wait for the command with this token, which was answered or has timed out.
    pub fn finish_request(&mut self, token: Token, answered: bool) {
        if self.in_flight.is_none_or(|(awaited, _)| awaited != token) {
            return;
        }
        self.in_flight = None;
        if !answered {
            self.token = self.token.next();
            self.proof_token = self.token;
        }
    }
}

impl Controller {
    /// The controller's next process, right after its start.
    pub fn restarted(&self) -> Self {
        Self {
            incarnation: self.incarnation + 1,
            has_read: false,
            ready: false,
            mirror: Records::default(),
            last_read_age: LONG_AGO,
            peers: [Peer {
                confirmation_age: LONG_AGO,
                request_age: LONG_AGO,
                incarnation: 0,
                incarnation_at_read: 0,
                answer: None,
            }; MAX_CONTROLLERS],
            owned: [None; MAX_WORKERS],
            pending_read: None,
        }
    }

    /// Whether the newest known map names this incarnation of the controller.
    pub fn is_in_map(&self, own_index: usize) -> bool {
        self.ready && self.mirror.incarnations[own_index] == self.incarnation
    }

    pub fn owns(&self, own_index: usize, worker_id: usize) -> bool {
        self.is_in_map(own_index) && self.mirror.owner[worker_id] as usize == own_index
    }

    /// Whether the controller may answer reports, which renews the workers' leases.
    pub fn may_renew_leases(&self, own_index: usize, size: &Size, mechanisms: Mechanisms) -> bool {
        if !self.is_in_map(own_index) {
            return false;
        }
        let Some(renewal_bound) = size.renewal_bound.filter(|_| mechanisms.has(Mechanism::RenewalBound))
        else {
            return true;
        };
        let mut confirmation_ages = self
            .peers
            .iter()
            .enumerate()
            .take(size.controllers)
            .filter(|(index, _)| *index != own_index)
            .map(|(_, peer)| peer.confirmation_age);
        let oldest = if mechanisms.has(Mechanism::AllPeers) {
            confirmation_ages.max()
        } else {
            confirmation_ages.next()
        };
        let limit = if mechanisms.has(Mechanism::NoRenewalByOutage) {
            renewal_bound
        } else {
            OUTAGE_ANSWER_LIMIT_TICKS
        };
        self.last_read_age < renewal_bound || oldest.is_some_and(|age| age < limit)
    }

    /// Takes over the workers that the mirror's map assigns to this controller, and releases the others.
    fn adopt_map(&mut self, own_index: usize, size: &Size, mechanisms: Mechanisms) {
        let epoch = self.mirror.epoch;
        for worker_id in 0..size.workers {
            if !self.owns(own_index, worker_id) {
                self.owned[worker_id] = None;
                continue;
            }
            let skipped_a_map =
                |known: &OwnedWorker| mechanisms.has(Mechanism::ResetOnReacquire) && known.epoch + 1 < epoch;
            match &mut self.owned[worker_id] {
                Some(known) if !skipped_a_map(known) => known.enter_epoch(epoch),
                owned => *owned = Some(OwnedWorker::new(epoch)),
            }
        }
    }

    /// Reads the records that the state service has now.
    pub fn read_records(&mut self, own_index: usize, records: &Records, size: &Size, mechanisms: Mechanisms) {
        self.mirror = *records;
        self.last_read_age = 0;
        (self.has_read, self.ready) = (true, true);
        for peer in &mut self.peers {
            peer.incarnation_at_read = peer.incarnation;
        }
        self.adopt_map(own_index, size, mechanisms);
    }

    pub fn begin_read(&mut self, records: &Records, full: bool) {
        self.ready &= !full;
        self.pending_read = Some(PendingRead {
            age: 0,
            records: *records,
            full,
            incarnations: self.peers.map(|peer| peer.incarnation),
        });
    }

    pub fn finish_read(&mut self, own_index: usize, size: &Size, mechanisms: Mechanisms) {
        let Some(PendingRead { age, records, full, incarnations }) = self.pending_read.take() else { return };
        let known_job = self.mirror.job;
        let keeps_newer =
            mechanisms.has(if full { Mechanism::RereadKeepsNewer } else { Mechanism::NewerRecordWins });
        if full || records.revision > self.mirror.revision {
            self.mirror = records;
            if keeps_newer {
                self.apply_job(known_job);
            }
        }
        if full {
            (self.has_read, self.ready) = (true, true);
        } else {
            self.last_read_age = self.last_read_age.min(age);
            for (peer, incarnation) in self.peers.iter_mut().zip(incarnations) {
                peer.incarnation_at_read = peer.incarnation_at_read.max(incarnation);
            }
        }
        self.adopt_map(own_index, size, mechanisms);
    }

    /// Applies a record that is not part of a read: an own commit, or one from a peer's answer.
    pub fn apply_job(&mut self, job: Job) {
        if job.revision > self.mirror.job.revision {
            self.mirror.job = job;
        }
    }

    /// The answer to a peer that asks for a cancellation after its own revision.
    pub fn read_index(&self, after_revision: u8, complete: bool, mechanisms: Mechanisms) -> PeerAnswer {
        let job = self.mirror.job;
        let has_read = if mechanisms.has(Mechanism::ReadSinceStart) { self.has_read } else { self.ready };
        PeerAnswer {
            age: 0,
            incarnation: self.incarnation,
            has_read,
            epoch: self.mirror.epoch,
            cancelled: (complete && has_read && job.cancelled && job.revision > after_revision)
                .then_some(job),
            complete,
            in_outage: self.last_read_age >= OUTAGE_AFTER_TICKS
                && !mechanisms.has(Mechanism::NoRenewalByOutage),
        }
    }

    /// Handles a peer's answer to the request for its read index.
    pub fn receive_peer_answer(&mut self, from: usize, mechanisms: Mechanisms) {
        let peer = &mut self.peers[from];
        let Some(answer) = peer.answer.take() else { return };
        let known_incarnation = if mechanisms.has(Mechanism::KnownIncarnation) {
            peer.incarnation_at_read
        } else {
            peer.incarnation
        };
        peer.incarnation = peer.incarnation.max(answer.incarnation);
        let knows_records = answer.has_read
            || known_incarnation == answer.incarnation
            || !mechanisms.has(Mechanism::UnreadPeerCheck);
        let complete = answer.complete || !mechanisms.has(Mechanism::CompleteAnswer);
        let current_map = answer.epoch <= self.mirror.epoch || !mechanisms.has(Mechanism::PeerEpoch);
        let age = match () {
            () if !mechanisms.has(Mechanism::Nonce) => peer.request_age,
            () if !mechanisms.has(Mechanism::AgeFromRequest) => 0,
            () => answer.age,
        };
        if !mechanisms.has(Mechanism::NoRenewalByOutage) {
            peer.confirmation_age = if answer.in_outage { answer.age } else { LONG_AGO };
            return;
        }
        if knows_records && complete && current_map {
            peer.confirmation_age = peer.confirmation_age.min(age);
        }
        if self.has_read
            && mechanisms.has(Mechanism::ReadIndex)
            && let Some(job) = answer.cancelled
        {
            self.apply_job(job);
        }
    }

    /// Handles a worker's report. Returns the answer, if there is one.
    pub fn receive_report(
        &mut self,
        own_index: usize,
        worker_id: usize,
        report: &Report,
        size: &Size,
        mechanisms: Mechanisms,
    ) -> Option<ReportAnswer> {
        if !self.may_renew_leases(own_index, size, mechanisms) {
            return None;
        }
        let job = self.mirror.job;
        let answer =
            |token, launch, stop| ReportAnswer { age: 0, session: report.session, token, launch, stop };
        if !self.owns(own_index, worker_id) {
            // Under a new map, any controller renews a worker's lease once.
            let token = Token::first(self.mirror.epoch);
            let runs_here = |attempt: &u8| report.tasks[*attempt as usize] == Task::Running;
            let should_stop = job.cancelled && mechanisms.has(Mechanism::NonOwnerStops);
            let stop = (0..MAX_ATTEMPTS as u8).find(runs_here).filter(|_| should_stop);
            return (report.token < token).then(|| answer(token, None, stop));
        }
        let owned = self.owned[worker_id].as_mut()?;
        if report.token > owned.token {
            return None;
        }
        let is_new = owned.ingest_report(report, true, mechanisms);
        owned.renewal_age = 0;
        let mut orders = owned.orders(&job, worker_id, size, mechanisms);
        if !is_new || owned.in_flight.is_some() {
            orders.launch = None;
            if !mechanisms.has(Mechanism::StopWithAnswer) {
                orders.stop = None;
            }
        }
        let cancelled_here =
            job.placement.filter(|(placed_on, _)| *placed_on as usize == worker_id && job.cancelled);
        let may_stop = owned.in_flight.is_none() || mechanisms.has(Mechanism::StopWithAnswer);
        if may_stop
            && mechanisms.has(Mechanism::StopUnreported)
            && let Some((_, attempt)) = cancelled_here
        {
            orders.stop = Some(attempt);
        }
        owned.launch_offered |= orders.launch.is_some();
        Some(answer(owned.token, orders.launch, orders.stop))
    }
}

/// Under the former rule (see `Mechanism::NoRenewalByOutage`), the age from which a peer's report of an
/// outage no longer counts.
const OUTAGE_ANSWER_LIMIT_TICKS: u8 = 2;
/// Under the former rule, the age of the last read from which a controller reports an outage.
const OUTAGE_AFTER_TICKS: u8 = 1;
