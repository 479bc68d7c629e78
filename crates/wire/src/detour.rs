//! Calls to endpoints that a peer makes for an instance, in Cap'n Proto form.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use peatdeck_core::relay::paths::Reach;

use crate::{
    peer::Error,
    relay_capnp::{self, header},
};

/// Encodes an answer to the question whether an endpoint is reached.
pub fn write_reach(reach: Reach) -> relay_capnp::Reach {
    match reach {
        Reach::Unknown => relay_capnp::Reach::Unknown,
        Reach::Reached => relay_capnp::Reach::Reached,
        Reach::Unreached => relay_capnp::Reach::Unreached,
        Reach::CutOff => relay_capnp::Reach::CutOff,
        Reach::Answered => relay_capnp::Reach::Answered,
    }
}

/// Decodes an answer to the question whether an endpoint is reached.
pub fn read_reach(reach: relay_capnp::Reach) -> Reach {
    match reach {
        relay_capnp::Reach::Unknown => Reach::Unknown,
        relay_capnp::Reach::Reached => Reach::Reached,
        relay_capnp::Reach::Unreached => Reach::Unreached,
        relay_capnp::Reach::CutOff => Reach::CutOff,
        relay_capnp::Reach::Answered => Reach::Answered,
    }
}

/// Encodes a request to an endpoint.
pub fn write_request(request: &Request<Bytes>, mut to: relay_capnp::request::Builder<'_>) {
    to.set_method(request.method().as_str());
    to.set_target(request.uri().to_string());
    to.set_body(request.body());
    write_headers(request.headers(), to.init_headers(request.headers().len() as u32));
}

/// Decodes a request to an endpoint.
///
/// # Errors
/// Any [`Error`], also if a part of it is not valid in HTTP.
pub fn read_request(from: relay_capnp::request::Reader<'_>) -> Result<Request<Bytes>, Error> {
    let invalid = |what: &str| capnp::Error::failed(format!("a {what} is not valid in HTTP"));
    let method = Method::try_from(from.get_method()?.to_str()?).map_err(|_| invalid("method"))?;
    let target = Uri::try_from(from.get_target()?.to_str()?).map_err(|_| invalid("target"))?;
    let mut request = Request::new(Bytes::copy_from_slice(from.get_body()?));
    *request.method_mut() = method;
    *request.uri_mut() = target;
    *request.headers_mut() = read_headers(from.get_headers()?)?;
    Ok(request)
}

/// Encodes headers.
pub fn write_headers(
    headers: &HeaderMap,
    mut list: capnp::struct_list::Builder<'_, header::Owned>,
) {
    for (idx, (name, value)) in (0..).zip(headers) {
        let mut to = list.reborrow().get(idx);
        to.set_name(name.as_str());
        to.set_value(value.as_bytes());
    }
}

/// Decodes headers.
///
/// # Errors
/// Any [`Error`], also if one of them is not valid in HTTP.
pub fn read_headers(
    list: capnp::struct_list::Reader<'_, header::Owned>,
) -> Result<HeaderMap, Error> {
    let invalid = || capnp::Error::failed("a header is not valid in HTTP".to_owned());
    let mut headers = HeaderMap::with_capacity(list.len() as usize);
    for from in list {
        let name = HeaderName::try_from(from.get_name()?.to_str()?).map_err(|_| invalid())?;
        let value = HeaderValue::from_bytes(from.get_value()?).map_err(|_| invalid())?;
        headers.append(name, value);
    }
    Ok(headers)
}
