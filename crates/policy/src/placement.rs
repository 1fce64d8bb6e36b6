//! Where a request may be served: the home regions of its route and team, and the data centres that
//! are being drained.

use std::collections;

use base::name;
use smallvec::SmallVec;

/// Regions in which a request may be served.
pub type Regions = SmallVec<[name::Region; 2]>;

/// Returns the regions in which a request may be served, given the home regions of its route and
/// its team, either of which may be empty; `None` if neither has any. An empty result allows no
/// region: the two lists have none in common.
pub fn allowed_regions(route: &[name::Region], team: &[name::Region]) -> Option<Regions> {
    match (route, team) {
        ([], []) => None,
        (homes, []) | ([], homes) => Some(homes.iter().cloned().collect()),
        (route, team) => {
            let common = route.iter().filter(|region| team.contains(region));
            Some(common.cloned().collect())
        }
    }
}

/// Why a data centre may not serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// The data centre is being drained.
    Drained,
    /// The data centre is outside the regions of the request, or its region is unknown.
    OutsideHomes,
}

/// Returns why the data centre `dc` in `region` may not serve a request that is limited to `homes`,
/// or `None` if it may. `homes` is `None` without a limit, `region` is `None` if it is unknown.
pub fn exclusion(
    homes: Option<&[name::Region]>,
    drained: &collections::BTreeSet<name::Dc>,
    dc: &name::Dc,
    region: Option<&name::Region>,
) -> Option<Exclusion> {
    if drained.contains(dc) {
        return Some(Exclusion::Drained);
    }
    let homes = homes?;
    match region {
        Some(region) if homes.contains(region) => None,
        _ => Some(Exclusion::OutsideHomes),
    }
}

/// Returns those of `homes` that none of the data centres with the regions `known` belongs to.
pub fn unknown_homes<'a>(
    homes: &'a [name::Region],
    known: &collections::HashMap<name::Dc, name::Region>,
) -> SmallVec<[&'a name::Region; 2]> {
    let is_known = |home: &name::Region| known.values().any(|region| region == home);
    homes.iter().filter(|home| !is_known(home)).collect()
}
