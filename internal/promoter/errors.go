package promoter

import "fmt"

// OrderError reports an order that can't be carried out because of one of its fields.
type OrderError struct {
	Service string
	Field   string
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("rollout of service %q: field %q is missing or unusable", e.Service, e.Field)
}
