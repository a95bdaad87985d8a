// Stands in for the HTTP/2 part of the HTTP client in the bundle.
const nothing = {};

export default nothing;
