//! Where a host is, and how far data centres are from it.

use std::collections;

use base::name;
pub use policy::dc_link::Distance;

/// Location of this host, and the regions of all data centres.
#[derive(Clone, Debug)]
pub struct Location {
    /// Data centre in which this host runs.
    pub dc: name::Dc,
    /// Region of each data centre.
    pub regions: collections::HashMap<name::Dc, name::Region>,
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
}
