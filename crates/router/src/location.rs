//! Where a host is, and how far data centres are from it.

use std::collections;

use base::name;

/// Cost of selecting an upstream in another data centre of the same region, in milliseconds.
const SAME_REGION_COST_MS: f64 = 6.0;
/// Cost of selecting an upstream in another region, in milliseconds.
const OTHER_REGION_COST_MS: f64 = 60.0;

/// Location of this host, and the regions of all data centres.
#[derive(Clone, Debug)]
pub struct Location {
    /// Data centre in which this host runs.
    pub dc: name::Dc,
    /// Region of each data centre.
    pub regions: collections::HashMap<name::Dc, name::Region>,
}

/// How far a data centre is from a host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The host's own data centre.
    SameDc,
    /// Another data centre of the host's region.
    SameRegion,
    /// A data centre of another region, or an unknown one.
    OtherRegion,
}

impl Location {
    /// Returns the distance of the data centre `dc`.
    pub fn distance(&self, dc: &name::Dc) -> Distance {
        if *dc == self.dc {
            return Distance::SameDc;
        }
        if self.regions.get(dc) == self.regions.get(&self.dc) {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }

    /// Cost of selecting an upstream in the data centre `dc`, in milliseconds.
    pub fn distance_cost_ms(&self, dc: &name::Dc) -> f64 {
        match self.distance(dc) {
            Distance::SameDc => 0.0,
            Distance::SameRegion => SAME_REGION_COST_MS,
            Distance::OtherRegion => OTHER_REGION_COST_MS,
        }
    }
}
