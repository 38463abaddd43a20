// Package hostile plays clients that misuse a gateway: they write slowly, stop in the middle of a request, send heads of
// very many fields, requests that can't be read or many requests at once, and leave in every way that a connection can
// end. A seed determines what the clients send.
package hostile
