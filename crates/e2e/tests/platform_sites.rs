//! Deployments that run side by side keep apart.

use rhubarb_e2e::site;

// Two test processes whose numbers differed by a multiple of 120 used the same addresses, so that callers of
// one reached the entries of the other.
#[test]
fn same_number() -> anyhow::Result<()> {
    let (first, subnet) = site::claim_subnet(7, 250)?;
    let (_second, other) = site::claim_subnet(7, 250)?;
    assert_ne!(subnet, other);
    drop(first);
    let (_third, again) = site::claim_subnet(7, 250)?;
    assert_eq!(subnet, again, "free again");
    Ok(())
}
