// Package route orders the targets of a service for one request.
package route
