//! Conversions of machines and scale-outs to the cloud's offers.

use sched::autoscaling::MachineOffer;
use sched::records::{MachineRecord, ScaleOut};

/// The offer that a machine belongs to.
pub fn offer_of_machine(machine: &MachineRecord) -> MachineOffer {
    MachineOffer {
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
    }
}

/// The offer that a scale-out requests machines of.
pub fn offer_of_scale_out(scale_out: &ScaleOut) -> MachineOffer {
    MachineOffer {
        machine_type: scale_out.machine_type.clone(),
        zone: scale_out.zone.clone(),
        spot: scale_out.spot,
    }
}
