;; Operators' own settings. Every field may be left out.
((idle_s . 30.0)        ; seconds a machine may stand idle before it is returned
 (most_machines . 0)    ; most machines rented at once; 0: no bound
 (spot . #t))           ; rent spot machines for jobs that allow them
