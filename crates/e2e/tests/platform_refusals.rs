//! Failures of servers whose status says that a request did not run.

use hyper::Method;

use rhubarb_e2e::site;
use rhubarb_fakes::backend;

/// Statuses that tell callers that a request has not run and never will.
const REFUSALS: [u16; 3] = [408, 429, 503];

// Answers of servers that all fail what they run with `status`: status, whether a server has sealed it,
// and number of runs.
async fn failed(site: &site::Site, path: &str, status: u16) -> anyhow::Result<(u16, bool, u32)> {
    for server in site.servers() {
        let is_runner = server.stage().0 != "prefill";
        server.set_fault(if is_runner {
            backend::Fault::FailsWith(status)
        } else {
            backend::Fault::None
        });
    }
    let attempt = format!("{}{status}", path.replace('/', "-"));
    let reply = site.edges[0].call(Method::POST, path, &attempt, "body").await?;
    let is_sealed = reply.headers.contains_key("x-response-seal");
    Ok((reply.status, is_sealed, site.runs(&attempt)))
}

// Guards against a request that ran and is answered with a status that says it did not: the server fails it
// with 408, 429 or 503 of its own, without saying that it was not executed (review case 12).
#[tokio::test]
async fn plain_not_promised() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for status in REFUSALS {
        assert_eq!(failed(&site, site::UNSAFE, status).await?, (502, false, 1), "{status}");
    }
    let log = site.edges[0].log();
    assert!(log.contains("status of a server not passed on"), "{log}");
    Ok(())
}

// The same for streams that run once at most.
#[tokio::test]
async fn stream_not_promised() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for status in REFUSALS {
        assert_eq!(failed(&site, site::STREAM, status).await?, (502, false, 1), "{status}");
    }
    Ok(())
}

// What may be repeated gets the server's own status, like any failure that promises nothing.
#[tokio::test]
async fn others_unchanged() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for status in REFUSALS {
        assert_eq!(failed(&site, site::SAFE, status).await?, (status, true, 2), "{status}");
        assert_eq!(failed(&site, site::RESUMABLE, status).await?, (status, true, 1), "{status}");
    }
    for path in [site::UNSAFE, site::STREAM] {
        assert_eq!(failed(&site, path, 500).await?, (500, true, 1), "{path}");
    }
    Ok(())
}
