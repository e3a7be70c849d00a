//! Scale-outs in the fleet's record: the requests and the machines that the cloud granted.

use sched::records::{Name, ScaleOut};

/// Machines of the same offer that were requested within this time are recorded as one scale-out.
/// Once the cloud has answered a request, its id is no longer needed.
const MERGE_WINDOW_MS: u64 = 10_000;

/// The outcome of a request for machines.
#[derive(Debug, Clone)]
pub struct ScaleOutResult {
    /// The id of the request.
    pub request: String,
    /// The machines that the cloud granted; `None` if it granted none.
    pub machines: Option<Vec<Name>>,
}

/// Adds requests, except those that are recorded already because an earlier transaction was
/// committed and only its response was lost.
pub fn add_requests(scale_outs: &mut Vec<ScaleOut>, requests: &[ScaleOut]) {
    for request in requests {
        if !scale_outs.iter().any(|known| known.request == request.request) {
            scale_outs.push(request.clone());
        }
    }
}

/// Records the outcomes of requests in as few bytes as possible.
pub fn record_results(scale_outs: &mut Vec<ScaleOut>, results: &[ScaleOutResult]) {
    for result in results {
        let is_answered = |scale_out: &ScaleOut| scale_out.request == result.request;
        let Some(index) = scale_outs.iter().position(is_answered) else { continue };
        let answered = scale_outs.remove(index);
        let Some(machines) = result.machines.as_ref().filter(|machines| !machines.is_empty()) else {
            continue;
        };
        add_granted(scale_outs, answered, machines);
    }
}

/// Adds granted machines to a recent scale-out of the same offer, or as a new scale-out.
fn add_granted(scale_outs: &mut Vec<ScaleOut>, mut answered: ScaleOut, machines: &[Name]) {
    let mergeable = scale_outs.iter_mut().find(|known| {
        known.machines.is_some()
            && (&known.machine_type, &known.zone, known.spot)
                == (&answered.machine_type, &answered.zone, answered.spot)
            && answered.requested_ms.saturating_sub(known.requested_ms) < MERGE_WINDOW_MS
    });
    match mergeable.and_then(|known| known.machines.as_mut()) {
        Some(granted) => granted.extend(machines.iter().cloned()),
        None => {
            answered.request.clear();
            answered.machines = Some(machines.to_vec());
            scale_outs.push(answered);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_out_records.rs"]
mod tests;
