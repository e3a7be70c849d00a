//! Scale-out: requests machines from the cloud.

use std::time::{Duration, Instant};

use cloud::{CloudError, MAX_MACHINES_PER_RENTAL};
use sched::autoscaling::MachineOffer;
use sched::records::{Name, ScaleOut};
use tokio::time::sleep;
use tracing::{debug, info, warn};
use wire::RentRequest;

use super::Autoscaler;
use super::fleet_record::{remaining_name_capacity, update_scale_outs};
use super::machine_offers::offer_of_scale_out;
use super::scale_out_records::{ScaleOutResult, add_requests, record_results};
use crate::clock;
use crate::controller::{Controller, wall_ms};

/// Maximum number of offers that machines are requested of before the demand is computed again.
const MAX_OFFERS_PER_STEP: usize = 6;
/// Space that a request takes in the fleet's record until its machines are known, expressed as a
/// number of machine names.
pub(super) const REQUEST_SIZE_IN_NAMES: usize = 60;
/// Maximum number of retries of a request whose response was lost.
const MAX_REQUEST_RETRIES: usize = 2;
/// Pause before a request is retried.
const REQUEST_RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Pause after a request that failed for another reason than its offer.
const REQUEST_FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// The number of machines to request of an offer.
struct OfferCount {
    offer: MachineOffer,
    count: u32,
}

impl Autoscaler {
    /// Plans the scale-out and requests the machines. Returns how long the planning took.
    pub(super) async fn scale_out(&mut self, controller: &Controller) -> Duration {
        let now = clock::now();
        let planned = {
            let mut state = controller.state();
            state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
            self.gpu_demand.sample(&state.records.replica, now);
            let planned = self.plan_scale_out(controller, &state, now);
            state.scheduling.shortfalls.clone_from(&self.shortfall_finder.shortfalls);
            planned
        };
        let planning_time = clock::since(now);
        let mut offers = count_by_offer(planned);
        offers.truncate(MAX_OFFERS_PER_STEP);
        offers.truncate(max_recordable_offers(controller));
        if !offers.is_empty() {
            self.request_offers(controller, offers, now).await;
        }
        planning_time
    }

    /// Requests machines of the given offers. All requests share two changes of the fleet's record,
    /// one before and one after: a change takes several writes where the record is larger than a
    /// value of the key-value store.
    async fn request_offers(&mut self, controller: &Controller, offers: Vec<OfferCount>, now: Instant) {
        let requests: Vec<ScaleOut> =
            offers.into_iter().map(|offer| self.new_request(controller, offer)).collect();
        // Requests are recorded before they are sent, so that the next leader knows which machines
        // may still come up.
        if !update_scale_outs(controller, |scale_outs| add_requests(scale_outs, &requests)).await {
            return;
        }
        let results = self.send_requests(controller, &requests, now).await;
        update_scale_outs(controller, |scale_outs| record_results(scale_outs, &results)).await;
    }

    fn new_request(&mut self, controller: &Controller, offer_count: OfferCount) -> ScaleOut {
        let OfferCount { offer, count } = offer_count;
        self.request_count += 1;
        ScaleOut {
            request: format!("{:x}-{:x}", controller.identity.incarnation, self.request_count),
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count,
            requested_ms: wall_ms(),
            machines: None,
        }
    }

    /// Sends requests to the cloud. No result is returned for a request whose outcome is unknown.
    async fn send_requests(
        &mut self,
        controller: &Controller,
        requests: &[ScaleOut],
        now: Instant,
    ) -> Vec<ScaleOutResult> {
        let mut results = Vec::new();
        let mut cloud_failed = false;
        for request in requests {
            let result = |machines| ScaleOutResult { request: request.request.clone(), machines };
            if cloud_failed {
                // Not sent: it would most likely fail, too, after an equally long wait.
                results.push(result(None));
                continue;
            }
            match self.send_request(controller, request, now).await {
                Ok(machines) => results.push(result(Some(machines))),
                Err(error) => {
                    cloud_failed = !concerns_offer(&error);
                    if !matches!(error, CloudError::Network(_) | CloudError::InvalidResponse(_)) {
                        results.push(result(None));
                    }
                }
            }
        }
        results
    }

    /// Sends a request to the cloud. Returns the granted machines.
    async fn send_request(
        &mut self,
        controller: &Controller,
        scale_out: &ScaleOut,
        now: Instant,
    ) -> Result<Vec<Name>, CloudError> {
        match send_with_retries(controller, scale_out).await {
            Ok(machines) => {
                let machines: Vec<Name> = machines.iter().map(|machine| machine.as_str().into()).collect();
                self.handle_granted(scale_out, &machines, now);
                Ok(machines)
            }
            Err(error) => {
                self.handle_failure(scale_out, &error, now).await;
                Err(error)
            }
        }
    }

    fn handle_granted(&mut self, scale_out: &ScaleOut, machines: &[Name], now: Instant) {
        let ScaleOut { request, machine_type, zone, spot, count, .. } = scale_out;
        info!(
            request,
            kind = &**machine_type,
            zone = &**zone,
            spot,
            asked = count,
            got = machines.len(),
            first = machines.first().map(|machine| &**machine),
            "scale-out granted"
        );
        let offer = offer_of_scale_out(scale_out);
        if (machines.len() as u32) < *count {
            self.backoffs.start(offer, now);
        } else {
            self.backoffs.clear(&offer);
        }
    }

    async fn handle_failure(&mut self, scale_out: &ScaleOut, error: &CloudError, now: Instant) {
        let ScaleOut { request, machine_type, zone, spot, .. } = scale_out;
        if error.is_refusal_of_content() {
            warn!(request, kind = &**machine_type, zone = &**zone, spot, %error, "scale-out request refused");
        } else {
            debug!(request, kind = &**machine_type, zone = &**zone, spot, %error, "scale-out request failed");
        }
        if concerns_offer(error) {
            self.backoffs.start(offer_of_scale_out(scale_out), now);
        } else {
            sleep(REQUEST_FAILURE_BACKOFF).await;
        }
    }
}

/// Whether a request failed because of its offer: others may be granted.
fn concerns_offer(error: &CloudError) -> bool {
    matches!(error, CloudError::NoCapacity) || error.is_refusal_of_content()
}

/// Counts the planned machines by offer, at most [`MAX_MACHINES_PER_RENTAL`] each. Offers keep the order in which
/// they first occur.
fn count_by_offer(planned: Vec<MachineOffer>) -> Vec<OfferCount> {
    let mut counts: Vec<OfferCount> = Vec::new();
    for offer in planned {
        match counts.iter_mut().find(|known| known.offer == offer) {
            Some(known) => known.count = (known.count + 1).min(MAX_MACHINES_PER_RENTAL),
            None => counts.push(OfferCount { offer, count: 1 }),
        }
    }
    counts
}

/// How many requests the fleet's record has space for. It may be full until some of the requested
/// machines are up.
fn max_recordable_offers(controller: &Controller) -> usize {
    let state = controller.state();
    let fleet = state.records.replica.fleet.as_ref();
    let name_capacity = fleet.map_or(usize::MAX, |fleet| remaining_name_capacity(&fleet.value, controller));
    name_capacity / (REQUEST_SIZE_IN_NAMES + MAX_MACHINES_PER_RENTAL as usize)
}

/// Sends a request and retries it if the response was lost. The request id stays the same, so that
/// the cloud does not grant the request twice.
async fn send_with_retries(controller: &Controller, scale_out: &ScaleOut) -> Result<Vec<String>, CloudError> {
    let request = RentRequest {
        request: scale_out.request.clone(),
        machine_type: scale_out.machine_type.to_string(),
        zone: scale_out.zone.to_string(),
        spot: scale_out.spot,
        count: scale_out.count,
    };
    let mut response = controller.cloud.rent(&request).await;
    for _ in 0..MAX_REQUEST_RETRIES {
        if !matches!(response, Err(CloudError::Network(_))) {
            break;
        }
        sleep(REQUEST_RETRY_BACKOFF).await;
        response = controller.cloud.rent(&request).await;
    }
    response
}
