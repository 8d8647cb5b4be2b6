//! A day's faults, the same for every policy at the same seed.

use std::time::Duration;

use fastrand::Rng;
use sesamecart_vocabulary::{FabricDomainId, FailureDomainId, Timestamp, VmId};

use super::layout::{Layout, Size};

/// The length of the day.
pub(super) const DAY: Timestamp = Timestamp::from_millis(24 * 3_600_000);

/// What happens to VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// A VM is listed as leaving.
    Notice(VmId),
    /// A VM stops and loses all it held.
    Down(VmId),
    /// A VM is back, empty.
    Up(VmId),
    /// A VM stands still until the time.
    Pause(VmId, Timestamp),
    /// Operators take a failure domain out.
    Drain(FailureDomainId),
    /// Operators take it in again.
    Undrain(FailureDomainId),
}

/// A fault and when it comes.
#[derive(Clone, Debug)]
pub(super) struct Dated {
    pub(super) at: Timestamp,
    pub(super) fault: Fault,
}

/// Which kinds of fault the day has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Single VMs fail and pause.
    Failures,
    /// VMs are restarted in turn.
    Restarts,
    /// A whole fabric domain goes dark.
    Fabric,
    /// A failure domain is taken out and returns.
    Domain,
}

impl Kind {
    pub(super) const ALL: [Self; 4] = [Self::Failures, Self::Restarts, Self::Fabric, Self::Domain];
}

/// Makes the faults of a day in the order of time.
pub(super) fn day(size: &Size, layout: &Layout, kinds: &[Kind], seed: u64) -> Vec<Dated> {
    let mut schedule = Schedule {
        rng: Rng::with_seed(seed),
        vms: layout.fleet.vms.keys().cloned().collect(),
        faults: Vec::new(),
    };
    // Every kind draws from its own generator, so that leaving one out doesn't change the others.
    for kind in kinds {
        schedule.rng = Rng::with_seed(seed.wrapping_mul(31).wrapping_add(*kind as u64));
        match kind {
            Kind::Failures => schedule.failures(size),
            Kind::Restarts => schedule.restarts(size),
            Kind::Fabric => schedule.fabric(layout),
            Kind::Domain => schedule.domain(layout),
        }
    }
    schedule.faults.sort_by_key(|dated| dated.at);
    schedule.faults
}

struct Schedule {
    rng: Rng,
    vms: Vec<VmId>,
    faults: Vec<Dated>,
}

impl Schedule {
    fn push(&mut self, at: Timestamp, fault: Fault) {
        self.faults.push(Dated { at, fault });
    }

    fn seconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_secs(self.rng.u64(from..=to))
    }

    fn any_time(&mut self) -> Timestamp {
        Timestamp::ZERO + self.seconds(600, 82_000)
    }

    fn any_vm(&mut self) -> VmId {
        self.vms[self.rng.usize(..self.vms.len())].clone()
    }

    /// A failed VM is away for 5 to 40 minutes; a pause takes 1 to 8 seconds.
    fn failures(&mut self, size: &Size) {
        for _ in 0..size.vm_failures {
            let (vm, at) = (self.any_vm(), self.any_time());
            let back = at + self.seconds(300, 2_400);
            self.push(at, Fault::Down(vm.clone()));
            self.push(back, Fault::Up(vm));
        }
        for _ in 0..size.pauses {
            let (vm, at) = (self.any_vm(), self.any_time());
            let end = at + self.seconds(1, 8);
            self.push(at, Fault::Pause(vm, end));
        }
    }

    /// Eight VMs at a time, anywhere, with a minute's notice, away for 2 to 3 minutes.
    fn restarts(&mut self, size: &Size) {
        let mut vms = self.vms.clone();
        self.rng.shuffle(&mut vms);
        let begin = Timestamp::ZERO + self.seconds(3_600, 36_000);
        for (index, vm) in vms.into_iter().take(size.restarts).enumerate() {
            let notice = begin + Duration::from_secs(240 * (index as u64 / 8));
            let down = notice + Duration::from_secs(60);
            let up = down + self.seconds(120, 180);
            self.push(notice, Fault::Notice(vm.clone()));
            self.push(down, Fault::Down(vm.clone()));
            self.push(up, Fault::Up(vm));
        }
    }

    /// All VMs of a fabric domain stop at once; they come back over five minutes after a quarter to
    /// half an hour.
    fn fabric(&mut self, layout: &Layout) {
        let fabrics: Vec<FabricDomainId> = fabrics(layout);
        let fabric = fabrics[self.rng.usize(..fabrics.len())].clone();
        let at = self.any_time();
        let back = at + self.seconds(900, 1_800);
        for (vm, _) in layout.fleet.vms_in(&fabric) {
            let up = back + self.seconds(0, 300);
            self.push(at, Fault::Down(vm.clone()));
            self.push(up, Fault::Up(vm.clone()));
        }
    }

    /// Operators drain a failure domain, its VMs stop a minute later, and after 30 minutes they come
    /// back over five minutes; the domain is taken in again when the first is back.
    fn domain(&mut self, layout: &Layout) {
        let places = layout.fleet.vms.values();
        let mut domains: Vec<FailureDomainId> = places.map(|p| p.failure_domain.clone()).collect();
        domains.sort();
        domains.dedup();
        let domain = domains[self.rng.usize(..domains.len())].clone();
        let at = self.any_time();
        let back = at + Duration::from_secs(1_800);
        self.push(at, Fault::Drain(domain.clone()));
        self.push(back, Fault::Undrain(domain.clone()));
        for (vm, place) in &layout.fleet.vms {
            if place.failure_domain == domain {
                let up = back + self.seconds(0, 300);
                self.push(at + Duration::from_secs(60), Fault::Down(vm.clone()));
                self.push(up, Fault::Up(vm.clone()));
            }
        }
    }
}

fn fabrics(layout: &Layout) -> Vec<FabricDomainId> {
    let places = layout.fleet.vms.values();
    let mut fabrics: Vec<FabricDomainId> = places.map(|p| p.fabric_domain.clone()).collect();
    fabrics.sort();
    fabrics.dedup();
    fabrics
}
