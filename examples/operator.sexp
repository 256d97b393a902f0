;; Settings that the operators choose. Every field is optional.
((idle_s . 30.0)        ; seconds that a machine may be idle before it is returned
 (most_machines . 0)    ; maximum number of machines rented at the same time; 0: no limit
 (spot . #t))           ; rent spot machines for jobs that allow them
